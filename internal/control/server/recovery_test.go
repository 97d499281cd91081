package server

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/update"
)

// A recovery request without the correct phrase changes nothing: the answer has the possible losses or the reason for the rejection.
func TestRecoveryUnconfirmed(t *testing.T) {
	c := qt.New(t)
	s := newTestServer(3)
	recoverWith := func(confirm string, force bool) (CoreRecovery, error) {
		answer, err := s.handleCoreRecover(context.Background(), "", fmt.Appendf(nil, `{"confirm":%q,"force":%v}`, confirm, force))
		result, _ := answer.(CoreRecovery)
		return result, err
	}
	result, err := recoverWith("", false)
	c.Assert(err, qt.IsNil)
	c.Check(result.Done, qt.IsFalse)
	c.Check(result.ConfirmPhrase, qt.Equals, "epoch 1 number 1")
	c.Check(result.Losses, qt.HasLen, 3, qt.Commentf("later changes and two disks: %q", result.Losses))

	_, err = recoverWith("epoch 1 number 2", false)
	c.Check(apierror.KindOf(err), qt.Equals, apierror.Invalid)

	connectPeer(s, testMember(4), update.Status{Number: 2})
	_, err = recoverWith("", false)
	c.Check(apierror.KindOf(err), qt.Equals, apierror.Invalid, qt.Commentf("another process has applied a higher index"))
	_, err = recoverWith("", true)
	c.Check(err, qt.IsNil)

	s.diskBehind = true
	_, err = recoverWith("", true)
	c.Check(apierror.KindOf(err), qt.Equals, apierror.Unavailable)
	c.Check(s.state.Node.Membership().Epoch, qt.Equals, uint64(1))
}
