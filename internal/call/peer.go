package call

import (
	"context"
	"strconv"
	"strings"
	"time"

	"clementinelink.example/clementinelink/internal/claim"
	"clementinelink.example/clementinelink/internal/wire"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// Claim applies a peer's operation to a slot of which this VM is the soft owner.
// The verdict is Failed if ctx or Run ends first; the operation may then still
// take effect.
func (d *Desk) Claim(ctx context.Context, a claim.Ask) PeerReply {
	done := make(chan PeerReply, 1)
	ticket := d.lastNumber.Add(1)
	e := claim.PeerRequested(ticket, a)
	if !d.results.Put(ctx, message{
		claim:      &e,
		peerReply:  done,
		peerTicket: ticket,
	}) {
		return PeerReply{}
	}
	select {
	case r := <-done:
		return r
	case <-ctx.Done():
	case <-d.runCtx.Done():
	}
	return PeerReply{}
}

// Verdict returns the verdict on the operation.
func (r PeerReply) Verdict() claim.Verdict { return r.verdict }

// Record returns the key's record, or nil.
func (r PeerReply) Record() *claim.Record { return r.record }

// EncodeAsk returns the message that sends an operation to a peer. The answer of
// an outcome is encoded as a claim.Record.
func EncodeAsk(a claim.Ask) (*wire.ClaimRequest, error) {
	key, body := a.Key(), a.Body()
	m := &wire.ClaimRequest{
		KeyDigest:  key[:],
		BodyDigest: body[:],
		ClaimId:    strconv.FormatUint(a.ID().VM(), 16) + "-" + strconv.FormatUint(a.ID().Number(), 16),
		DeadlineMs: a.Deadline().UnixMilli(),
	}
	if !a.IsOutcome() {
		return m, nil
	}
	m.State = a.State().String()
	if a.Answer() == nil {
		return m, nil
	}
	value, err := proto.Marshal(claim.RecordOf(a.Answer()))
	m.Answer = value
	return m, err
}

// DecodeAsk returns the operation of a peer's message.
func DecodeAsk(m *wire.ClaimRequest) (claim.Ask, error) {
	vm, number, _ := strings.Cut(m.GetClaimId(), "-")
	v, err := strconv.ParseUint(vm, 16, 64)
	if err != nil {
		return claim.Ask{}, errors.Wrap(err, "claim id")
	}
	n, err := strconv.ParseUint(number, 16, 64)
	if err != nil {
		return claim.Ask{}, errors.Wrap(err, "claim id")
	}
	if len(m.GetKeyDigest()) != len(claim.Digest{}) || len(m.GetBodyDigest()) != len(claim.Digest{}) {
		return claim.Ask{}, errors.Newf("digest of %d bytes", len(m.GetKeyDigest()))
	}
	a := claim.NewClaim(claim.Digest(m.GetKeyDigest()), claim.Digest(m.GetBodyDigest()), claim.NewID(v, n), time.UnixMilli(m.GetDeadlineMs()))
	if m.GetState() == "" {
		return a, nil
	}
	state, ok := claim.State_value[m.GetState()]
	if !ok {
		return claim.Ask{}, errors.Newf("state %q", m.GetState())
	}
	if len(m.GetAnswer()) == 0 {
		return a.WithOutcome(claim.State(state), nil), nil
	}
	var r claim.Record
	if err := proto.Unmarshal(m.GetAnswer(), &r); err != nil {
		return claim.Ask{}, errors.Wrap(err, "answer")
	}
	return a.WithOutcome(claim.State(state), claim.AnswerOf(&r)), nil
}

// EncodeReply returns the message that sends a verdict to a peer. Its field answer
// holds the encoded record.
func EncodeReply(r PeerReply) (*wire.ClaimReply, error) {
	m := &wire.ClaimReply{
		Won:   r.verdict == claim.Won,
		State: strconv.Itoa(int(r.verdict)),
	}
	if r.record == nil {
		return m, nil
	}
	m.Holder = strconv.FormatUint(r.record.GetVm(), 16) + "-" + strconv.FormatUint(r.record.GetNumber(), 16)
	m.BodyDigest = r.record.GetBody()
	m.Status = r.record.GetStatus()
	value, err := proto.Marshal(r.record)
	m.Answer = value
	return m, err
}

// DecodeReply returns the reply in a peer's message. The verdict is Failed if the
// message is not valid.
func DecodeReply(m *wire.ClaimReply) PeerReply {
	v, err := strconv.ParseUint(m.GetState(), 10, 8)
	if err != nil || claim.Verdict(v) > claim.Recorded {
		return PeerReply{}
	}
	reply := PeerReply{
		verdict: claim.Verdict(v),
	}
	if len(m.GetAnswer()) == 0 {
		return reply
	}
	reply.record = &claim.Record{}
	if err := proto.Unmarshal(m.GetAnswer(), reply.record); err != nil || len(reply.record.GetKey()) != len(claim.Digest{}) {
		return PeerReply{}
	}
	return reply
}
