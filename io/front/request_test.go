package front_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"almondrill/core"
	"almondrill/io/front"
)

// Guards against derived chat ids that change with the way messages are decoded: returning chats would not find their
// contexts.
func TestDerivedChatDependsOnTheFirstMessages(t *testing.T) {
	const system, user = `{"role":"system","content":"Be brief."}`, `{"role":"user","content":[{"type":"text","text":"hi"}]}`
	hash := xxhash.New()
	_, _ = hash.WriteString(`system"Be brief."user[{"type":"text","text":"hi"}]`)
	want := core.ChatID("derived-" + strconv.FormatUint(hash.Sum64(), 16))
	for _, list := range [][]string{{system, user}, {system, user, `{"role":"assistant","content":"Hi."}`, `{"role":"user","content":"More."}`}} {
		body := `{"model":"m","messages":[` + strings.Join(list, ", ") + `]}`
		got, count, err := front.DerivedChat([]byte(body))
		if err != nil || got != want || count != len(list) {
			t.Errorf("%s: %s of %d messages, %v; want %s of %d", body, got, count, err, want, len(list))
		}
	}
}

// Guards against bodies that were refused, or taken as chats without messages, and are not any more.
func TestMessagesOfAnotherType(t *testing.T) {
	for body, fails := range map[string]bool{
		`{}`: false, `{"messages":null}`: false, `{"messages":[]}`: false, `{"messages":{}}`: true, `{"messages":"x"}`: true,
		`{"messages":[1]}`: true, `{"messages":[{"role":1}]}`: true, `{"messages":[{"role":"user"},{"role":1}]}`: true, `{"messages":[null]}`: false,
	} {
		if _, _, err := front.DerivedChat([]byte(body)); (err != nil) != fails {
			t.Errorf("%s: %v", body, err)
		}
	}
}

// Guards against chats of very many messages that take many times their size once decoded.
func TestManyMessagesTakeLittleMemory(t *testing.T) {
	body := []byte(`{"messages":[` + strings.Repeat("{},", 200_000) + "{}]}")
	taken := testing.Benchmark(func(be *testing.B) {
		be.ReportAllocs()
		for range be.N {
			if _, count, err := front.DerivedChat(body); err != nil || count != 200_001 {
				be.Fatal(count, err)
			}
		}
	})
	if got := taken.AllocedBytesPerOp(); got > int64(4*len(body)) {
		t.Errorf("decoding %d bytes allocates %d", len(body), got)
	}
}
