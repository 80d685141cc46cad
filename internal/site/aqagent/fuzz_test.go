package aqagent

import (
	"testing"

	"acaciaquay/internal/site/aqreport"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqpeer"
)

// Peers' messages of any content are decoded, or refused; a difference that cannot be
// applied is refused too.
func FuzzPeerMessages(f *testing.F) {
	for _, message := range []any{
		PollAnswer{Events: []EventWire{wrapEvent("w1", 1, ReportReceived{Difference: aqreport.Difference{Whole: true, New: []aqreport.NewRun{{Slot: 1}}}})}},
		OrdersCall{Orders: []OrderWire{WrapOrder(1, aqdecider.Start{Worker: "w1"})}},
		PollCall{Params: []HeartbeatParams{{Worker: "w1"}}},
	} {
		data, err := aqpeer.Pack(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var answer PollAnswer
		if err := aqpeer.Unpack(data, &answer); err == nil {
			var listing aqreport.Listing
			for _, e := range answer.Events {
				if report, isReport := e.Unwrap().(ReportReceived); isReport {
					_, _ = listing.Apply(report.Difference)
				}
			}
		}
		var orders OrdersCall
		if err := aqpeer.Unpack(data, &orders); err == nil {
			for _, o := range orders.Orders {
				_ = o.Unwrap()
			}
		}
		var poll PollCall
		_ = aqpeer.Unpack(data, &poll)
	})
}
