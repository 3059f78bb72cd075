package front

import (
	"encoding/json"

	"almondrill/core"
)

// DerivedChat returns the chat id that is derived from a chat's body, and the number of its messages.
func DerivedChat(body []byte) (core.ChatID, int, error) {
	var in chatBody
	err := json.Unmarshal(body, &in)
	return derivedChat(&in.Messages), in.Messages.count, err
}
