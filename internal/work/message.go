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
	// DeadlineOption carries the milliseconds that are left of a request's
	// time. Its number is of the range for experiments (RFC 7252, 12.2);
	// being even it is elective, so a server that does not know it ignores it.
	DeadlineOption message.OptionID = 65000

	mostOptions   = 24
	mostHeader    = 512
	unknownText   = "unknown: it may have run, do not assume either"
	notRunText    = "not run"
	badText       = "bad request"
	restartText   = "block-wise answer is gone, start again"
	responseClass = 2 // codes of class 2 and up are answers
)

// Message is a CoAP message as the core sees it.
type Message struct {
	message.Message
}

// Decode reads a CoAP message; the result shares the data.
func Decode(data []byte) (Message, error) {
	m := Message{message.Message{Options: make(message.Options, 0, mostOptions)}}
	n, err := coder.DefaultCoder.Decode(data, &m.Message)
	if err != nil {
		return Message{}, fmt.Errorf("decode coap: %w", err)
	}
	if n != len(data) {
		return Message{}, errors.New("decode coap: bytes left over")
	}
	return m, nil
}

// Encode writes the message.
func (m Message) Encode() ([]byte, error) {
	buf := make([]byte, mostHeader+len(m.Payload))
	n, err := coder.DefaultCoder.Encode(m.Message, buf)
	if err != nil {
		return nil, fmt.Errorf("encode coap: %w", err)
	}
	return buf[:n], nil
}

// IsRequest reports whether the message asks for something.
func (m Message) IsRequest() bool { return m.Code >= codes.GET && m.Code>>5 == 0 }

// IsAnswer reports whether the message answers a request.
func (m Message) IsAnswer() bool { return m.Code>>5 >= responseClass }

// IsReset reports whether the message cancels the one with its message id.
func (m Message) IsReset() bool { return m.Type == message.Reset && m.Code == codes.Empty }

// Left returns the time that a request says is left of its deadline.
func (m Message) Left() (time.Duration, bool) {
	ms, err := m.Options.GetUint32(DeadlineOption)
	return time.Duration(ms) * time.Millisecond, err == nil
}

// WithLeft returns the message with the time that is left.
func (m Message) WithLeft(left time.Duration) Message {
	return m.withUint(DeadlineOption, uint32(max(left.Milliseconds(), 1)))
}

func (m Message) withUint(id message.OptionID, value uint32) Message {
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

// Block returns the number of the block that a request asks for by Block2.
func (m Message) Block() (number uint32, asked bool) {
	const numberShift = 4
	value, err := m.Options.GetUint32(message.Block2)
	return value >> numberShift, err == nil
}

// MaxAge returns after how long a refused caller may come again.
func (m Message) MaxAge() time.Duration {
	s, err := m.Options.GetUint32(message.MaxAge)
	if err != nil {
		return 0
	}
	return time.Duration(s) * time.Second
}

// NotRunMessage returns the answer that says that a request was not run.
func NotRunMessage(token message.Token, id int32, again time.Duration) Message {
	m := answer(token, id, codes.ServiceUnavailable, notRunText)
	return m.withUint(message.MaxAge, uint32((again+time.Second-1)/time.Second))
}

// UnknownMessage returns the answer that says that a request may have run.
func UnknownMessage(token message.Token, id int32) Message {
	return answer(token, id, codes.GatewayTimeout, unknownText)
}

// BadRequestMessage returns the answer to a request that cannot be understood.
func BadRequestMessage(token message.Token, id int32) Message {
	return answer(token, id, codes.BadRequest, badText)
}

// RestartMessage returns the answer to a block of an answer that is gone.
func RestartMessage(token message.Token, id int32) Message {
	return answer(token, id, codes.RequestEntityIncomplete, restartText)
}

// AckMessage returns the empty acknowledgement of a confirmable request.
func AckMessage(id int32) Message {
	return Message{message.Message{Code: codes.Empty, Type: message.Acknowledgement, MessageID: id}}
}

// CancelMessage returns the reset that cancels the message with this id.
func CancelMessage(id int32) Message {
	return Message{message.Message{Code: codes.Empty, Type: message.Reset, MessageID: id}}
}

func answer(token message.Token, id int32, code codes.Code, text string) Message {
	return Message{message.Message{Token: token, Code: code, Type: message.NonConfirmable, MessageID: id, Payload: []byte(text)}}
}

// wrap builds the IP packet that carries a message.
func wrap(t packet.Tuple, m Message) ([]byte, error) {
	data, err := m.Encode()
	if err != nil {
		return nil, err
	}
	return packet.Build(t, packet.Flags{}, 0, 0, data)
}

// WithBlock returns the message with a Block2 option of this raw value.
func (m Message) WithBlock(value uint32) Message { return m.withUint(message.Block2, value) }

// MoreBlocks reports whether more blocks follow the one in an answer.
func (m Message) MoreBlocks() bool {
	const moreBit = 1 << 3
	value, err := m.Options.GetUint32(message.Block2)
	return err == nil && value&moreBit != 0
}
