package work

import (
	"errors"
	"fmt"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"oxbowsaddle/internal/packet"
)

const (
	// DeadlineOption carries the milliseconds left until the request's deadline.
	// Its number is in the range for experiments (RFC 7252, section 12.2), and even,
	// which makes the option elective: servers that don't know it ignore it.
	DeadlineOption message.OptionID = 65000

	maxOptions     = 24
	maxHeaderBytes = 512
	unknownText    = "unknown: it may have run, do not assume either"
	notRunText     = "not run"
	badRequestText = "bad request"
	restartText    = "block-wise answer is gone, start again"
	minAnswerClass = 2 // codes of class 2 (success) and above are responses
)

// Message is a CoAP message.
type Message struct {
	message.Message
}

// Decode decodes a CoAP message. The result aliases data.
func Decode(data []byte) (Message, error) {
	m := Message{message.Message{Options: make(message.Options, 0, maxOptions)}}
	n, err := coder.DefaultCoder.Decode(data, &m.Message)
	if err != nil {
		return Message{}, fmt.Errorf("decode coap: %w", err)
	}
	if n != len(data) {
		return Message{}, errors.New("decode coap: trailing bytes")
	}
	return m, nil
}

// Encode returns the wire format of the message.
func (m Message) Encode() ([]byte, error) {
	buf := make([]byte, maxHeaderBytes+len(m.Payload))
	n, err := coder.DefaultCoder.Encode(m.Message, buf)
	if err != nil {
		return nil, fmt.Errorf("encode coap: %w", err)
	}
	return buf[:n], nil
}

// IsRequest reports whether the message is a request.
func (m Message) IsRequest() bool { return m.Code >= codes.GET && m.Code>>5 == 0 }

// IsAnswer reports whether the message is a response.
func (m Message) IsAnswer() bool { return m.Code>>5 >= minAnswerClass }

// IsReset reports whether the message is a reset, which cancels the request with
// its message ID.
func (m Message) IsReset() bool { return m.Type == message.Reset && m.Code == codes.Empty }

// TimeLeft returns the time left until the deadline, and whether the request has one.
func (m Message) TimeLeft() (time.Duration, bool) {
	ms, err := m.Options.GetUint32(DeadlineOption)
	return time.Duration(ms) * time.Millisecond, err == nil
}

// WithTimeLeft returns the message with the time left until its deadline.
func (m Message) WithTimeLeft(left time.Duration) Message {
	return m.withUint32(DeadlineOption, uint32(max(left.Milliseconds(), 1)))
}

func (m Message) withUint32(id message.OptionID, value uint32) Message {
	options, err := m.Options.Clone()
	if err != nil {
		return m
	}
	buf := make([]byte, 8)
	changed, _, err := options.SetUint32(buf, id, value)
	if err == nil {
		m.Options = changed
	}
	return m
}

// Block returns the block number of the Block2 option, and whether there is one.
func (m Message) Block() (number uint32, present bool) {
	const numberShift = 4
	value, err := m.Options.GetUint32(message.Block2)
	return value >> numberShift, err == nil
}

// MaxAge returns the Max-Age option, the time after which the client of a refused
// request may retry, or zero.
func (m Message) MaxAge() time.Duration {
	s, err := m.Options.GetUint32(message.MaxAge)
	if err != nil {
		return 0
	}
	return time.Duration(s) * time.Second
}

// NotRunMessage returns the response to a request that was not run.
func NotRunMessage(token message.Token, id int32, retryAfter time.Duration) Message {
	m := newAnswer(token, id, codes.ServiceUnavailable, notRunText)
	return m.withUint32(message.MaxAge, uint32((retryAfter+time.Second-1)/time.Second))
}

// UnknownMessage returns the response to a request that may have run.
func UnknownMessage(token message.Token, id int32) Message {
	return newAnswer(token, id, codes.GatewayTimeout, unknownText)
}

// BadRequestMessage returns the response to a malformed request.
func BadRequestMessage(token message.Token, id int32) Message {
	return newAnswer(token, id, codes.BadRequest, badRequestText)
}

// RestartMessage returns the response to a request for a block of a block-wise
// transfer that is no longer known. The client has to restart the transfer.
func RestartMessage(token message.Token, id int32) Message {
	return newAnswer(token, id, codes.RequestEntityIncomplete, restartText)
}

// AckMessage returns the empty acknowledgement of a confirmable request.
func AckMessage(id int32) Message {
	return Message{message.Message{Code: codes.Empty, Type: message.Acknowledgement, MessageID: id}}
}

// CancelMessage returns the reset that cancels the message with the given ID.
func CancelMessage(id int32) Message {
	return Message{message.Message{Code: codes.Empty, Type: message.Reset, MessageID: id}}
}

func newAnswer(token message.Token, id int32, code codes.Code, text string) Message {
	return Message{message.Message{Token: token, Code: code, Type: message.NonConfirmable, MessageID: id, Payload: []byte(text)}}
}

// buildPacket returns the IP packet that carries a message.
func buildPacket(t packet.Tuple, m Message) ([]byte, error) {
	data, err := m.Encode()
	if err != nil {
		return nil, err
	}
	return packet.Build(t, packet.Flags{}, 0, 0, data)
}

// WithBlock returns the message with the raw value as its Block2 option.
func (m Message) WithBlock(value uint32) Message { return m.withUint32(message.Block2, value) }

// MoreBlocks reports whether the Block2 option says that more blocks follow.
func (m Message) MoreBlocks() bool {
	const moreBit = 1 << 3
	value, err := m.Options.GetUint32(message.Block2)
	return err == nil && value&moreBit != 0
}
