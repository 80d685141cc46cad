package aqretry_test

import (
	"fmt"
	"testing"

	"acaciaquay/pkg/aqretry"
)

// 1000 successes that add 0.1 retries each allow 100 retries, and the budget starts
// with one more. Rounding may change the count by one.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	b := aqretry.NewBudget(0.1, 10)
	retries := 0
	for range 1000 {
		if b.Spend() {
			retries++
		}
		b.Earn()
	}
	if retries > 101 || retries < 99 {
		t.Fatalf("%d retries after 1000 successes", retries)
	}
}

func ExampleBudget() {
	b := aqretry.NewBudget(0.5, 2)
	fmt.Println(b.Spend(), b.Spend())
	b.Earn()
	b.Earn()
	fmt.Println(b.Spend())
	// Output:
	// true false
	// true
}
