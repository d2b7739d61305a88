package balance_test

import (
	"fmt"
	"time"

	"brasswell/balance"
)

// printHost prints what a proxy would do.
type printHost struct{}

func (printHost) Send(id, server string, _ time.Duration) { fmt.Println("send", id, "to", server) }
func (printHost) Refuse(id string, _ time.Duration)       { fmt.Println("refuse", id) }
func (printHost) Fail(id string)                          { fmt.Println("fail", id) }
func (printHost) Cancel(string, int)                      {}
func (printHost) SetTimer(time.Duration, uint64)          {}
func (printHost) Watch()                                  {}
func (printHost) Log(string)                              {}

func Example() {
	settings := balance.Settings{
		Instances:   1,
		MaxAttempts: 3,
		Classes:     []balance.Class{{Aim: time.Second, ClientTimeout: 2 * time.Second, Value: 1}},
	}
	b, err := balance.New(settings, 42, printHost{})
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Update(0, balance.Full, []balance.Entry{{ID: "10.0.0.1:80"}})
	b.Submit(time.Millisecond, balance.Request{ID: "r1", Remaining: time.Second})
	b.Result(9*time.Millisecond, balance.Result{ID: "r1", Outcome: balance.OK, Finished: true})
	// Output: send r1 to 10.0.0.1:80
}
