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
func (s *Server) Claim(ctx context.Context, op claim.Operation) PeerReply {
	done := make(chan PeerReply, 1)
	ticket := s.lastNumber.Add(1)
	e := claim.PeerRequested(ticket, op)
	if !s.results.Put(ctx, message{
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
	case <-s.runCtx.Done():
	}
	return PeerReply{}
}

// Verdict returns the verdict on the operation.
func (r PeerReply) Verdict() claim.Verdict { return r.verdict }

// Record returns the key's record, or nil.
func (r PeerReply) Record() *claim.Record { return r.record }

// EncodeOperation returns the message that sends an operation to a peer. The
// answer of an outcome is encoded as a claim.Record.
func EncodeOperation(op claim.Operation) (*wire.ClaimRequest, error) {
	key, body := op.Key(), op.Body()
	m := &wire.ClaimRequest{
		KeyDigest:  key[:],
		BodyDigest: body[:],
		ClaimId:    strconv.FormatUint(op.ID().VM(), 16) + "-" + strconv.FormatUint(op.ID().Number(), 16),
		DeadlineMs: op.Deadline().UnixMilli(),
	}
	if !op.IsOutcome() {
		return m, nil
	}
	m.State = op.State().String()
	if op.Answer() == nil {
		return m, nil
	}
	value, err := proto.Marshal(claim.RecordOf(op.Answer()))
	m.Answer = value
	return m, err
}

// DecodeOperation returns the operation of a peer's message.
func DecodeOperation(m *wire.ClaimRequest) (claim.Operation, error) {
	vm, number, _ := strings.Cut(m.GetClaimId(), "-")
	v, err := strconv.ParseUint(vm, 16, 64)
	if err != nil {
		return claim.Operation{}, errors.Wrap(err, "claim id")
	}
	n, err := strconv.ParseUint(number, 16, 64)
	if err != nil {
		return claim.Operation{}, errors.Wrap(err, "claim id")
	}
	if len(m.GetKeyDigest()) != len(claim.Digest{}) || len(m.GetBodyDigest()) != len(claim.Digest{}) {
		return claim.Operation{}, errors.Newf("digest of %d bytes", len(m.GetKeyDigest()))
	}
	op := claim.NewClaim(claim.Digest(m.GetKeyDigest()), claim.Digest(m.GetBodyDigest()), claim.NewID(v, n), time.UnixMilli(m.GetDeadlineMs()))
	if m.GetState() == "" {
		return op, nil
	}
	state, ok := claim.State_value[m.GetState()]
	if !ok {
		return claim.Operation{}, errors.Newf("state %q", m.GetState())
	}
	if len(m.GetAnswer()) == 0 {
		return op.WithOutcome(claim.State(state), nil), nil
	}
	var r claim.Record
	if err := proto.Unmarshal(m.GetAnswer(), &r); err != nil {
		return claim.Operation{}, errors.Wrap(err, "answer")
	}
	return op.WithOutcome(claim.State(state), claim.AnswerOf(&r)), nil
}

// EncodeReply returns the message that sends a verdict to a peer. Its field answer
// holds the encoded record.
func EncodeReply(r PeerReply) (*wire.ClaimReply, error) {
	m := &wire.ClaimReply{
		Won:   r.verdict == claim.Acquired,
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
