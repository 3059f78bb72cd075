package trial_test

import (
	"fmt"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/revlog"
	"almondrill/io/fakes/inmem"
	"almondrill/io/fakes/kvsrv"
)

// commitCustomer commits a configuration with one more customer through a member.
func (st *harness) commitCustomer(me *inmem.Member, name string) core.Revision {
	st.t.Helper()
	doc, rev := me.Log.Document()
	next := decl.Apply(doc, &decl.Delta{Set: decl.Document{Customers: []decl.Customer{{Name: core.CustomerID(name)}}}})
	rev, err := me.Log.Commit(st.ctx, rev, next, revlog.Meta{ID: name, Author: "operator"})
	if err != nil {
		st.t.Fatal(err)
	}
	return rev
}

func (st *harness) allHaveRevision(rev core.Revision) bool {
	for _, me := range st.fl.Members() {
		if me.Log.Revision() < rev {
			return false
		}
	}
	return true
}

// checkRevisionsIncrease checks that every process adopted only increasing revisions.
func (st *harness) checkRevisionsIncrease() {
	st.t.Helper()
	for _, me := range st.fl.Members() {
		adopted := me.AdoptedRevisions()
		for ix := 1; ix < len(adopted); ix++ {
			if adopted[ix] <= adopted[ix-1] {
				st.t.Errorf("%s adopted revisions %v, want increasing ones", me.ID, adopted)
			}
		}
	}
}

// The KV fails right after a change has been accepted. The change must still be in force on every
// process within nine seconds.
func TestAcceptedChangeSpreadsDuringKVOutage(t *testing.T) {
	runHarness(t, 11, func(st *harness) {
		for n := range 10 {
			st.fl.Store.SetFaults(kvsrv.Faults{})
			me := st.fl.RouterAt(n % 3)
			rev := st.commitCustomer(me, fmt.Sprint("customer-", n))
			st.fl.Store.SetFaults(kvsrv.Faults{Down: true})
			time.Sleep(9 * time.Second)
			if !st.allHaveRevision(rev) {
				t.Errorf("revision %d is not in force everywhere", rev)
			}
		}
		st.checkRevisionsIncrease()
	})
}

// VMs are replaced during a long KV outage. A new agent and a new router must fetch the
// configuration from peers and serve. No process may revert to an older revision when the KV returns.
func TestStartDuringKVOutageFetchesFromPeers(t *testing.T) {
	runHarness(t, 12, func(st *harness) {
		rev := st.commitCustomer(st.fl.RouterAt(0), "before")
		time.Sleep(3 * time.Second)
		st.fl.Store.SetFaults(kvsrv.Faults{Down: true})
		time.Sleep(10 * time.Minute)
		st.fl.AddAgent("replacement", 0)
		fresh := st.fl.AddRouter("router-new", 0)
		time.Sleep(15 * time.Second)
		if !st.allHaveRevision(rev) {
			t.Errorf("revision %d is not in force everywhere", rev)
		}
		if te, re := st.send(3, "hello", "", true); re != nil || te.String() != "hello" || fresh.Log.Revision() != rev {
			t.Errorf("a request through the new router: %v", re)
		}
		st.fl.Store.SetFaults(kvsrv.Faults{})
		time.Sleep(time.Minute)
		st.checkRevisionsIncrease()
	})
}

// The KV serves stale reads for a while. No process may revert to an older revision, and a change
// based on stale reads must not be accepted.
func TestStaleReadsDoNotRevertConfig(t *testing.T) {
	runHarness(t, 13, func(st *harness) {
		me := st.fl.RouterAt(0)
		st.fl.Store.SetFaults(kvsrv.Faults{StaleReads: true})
		rev := st.commitCustomer(me, "new")
		time.Sleep(20 * time.Second)
		if !st.allHaveRevision(rev) {
			t.Error("the change did not spread despite stale reads")
		}
		doc, _ := me.Log.Document()
		if _, err := me.Log.Commit(st.ctx, rev, doc, revlog.Meta{ID: "late"}); err == nil {
			t.Error("a change was accepted on the basis of stale reads")
		}
		st.fl.Store.SetFaults(kvsrv.Faults{})
		st.commitCustomer(me, "after")
		time.Sleep(10 * time.Second)
		st.checkRevisionsIncrease()
	})
}

// A router is partitioned from all peers and from the KV for a minute. After the partition heals it
// must catch up on all revisions, in order.
func TestPartitionedRouterCatchesUp(t *testing.T) {
	runHarness(t, 14, func(st *harness) {
		partitioned := st.fl.RouterAt(2)
		partitioned.KVUnreachable.Store(true)
		for _, me := range st.fl.Members() {
			st.fl.Net.SetPartition(partitioned.ID, me.ID, true)
		}
		var rev core.Revision
		for n := range 5 {
			rev = st.commitCustomer(st.fl.RouterAt(0), fmt.Sprint("customer-", n))
			time.Sleep(12 * time.Second)
		}
		if partitioned.Log.Revision() == rev {
			t.Fatal("the router received the changes: it was not partitioned, so the test proves nothing")
		}
		for _, me := range st.fl.Members() {
			st.fl.Net.SetPartition(partitioned.ID, me.ID, false)
		}
		time.Sleep(9 * time.Second)
		if !st.allHaveRevision(rev) {
			t.Errorf("the partitioned router has revision %d, want %d", partitioned.Log.Revision(), rev)
		}
		st.checkRevisionsIncrease()
	})
}
