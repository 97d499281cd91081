package endpoint

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// simulateBurst simulates a service with 30 slots, in which each request takes 200 ms, and a burst of perSecond requests per second for one
// second. Requests that find no free slot are rejected and retried after wait, at most three times. It returns the number of
// rejections, and of those the number that hit retries.
func simulateBurst(perSecond float64, wait func(now int64) int64, answered func(now int64)) (rejected, rejectedAgain int) {
	const slots, work = 30, second / 5
	draw := rand.New(rand.NewPCG(4, 4))
	type client struct {
		at      int64
		retries int
	}
	var clients []client
	for at := int64(0); at < 6*second; {
		rate := 100.0 // the service can answer 150 per second
		if at > second && at < 2*second {
			rate = perSecond
		}
		at += int64(draw.ExpFloat64() / rate * float64(second))
		clients = append(clients, client{at: at})
	}
	var ends []int64
	for now := int64(0); now < 12*second; now += second / 500 {
		for len(ends) > 0 && ends[0] <= now {
			ends = ends[1:]
			answered(now)
		}
		for i := range clients {
			c := &clients[i]
			if c.at < 0 || c.at > now {
				continue
			}
			if len(ends) < slots {
				c.at = -1
				ends = append(ends, now+work)
				continue
			}
			if rejected++; c.retries > 0 {
				rejectedAgain++
			}
			if c.retries++; c.retries > 3 {
				c.at = -1
			} else {
				c.at = now + wait(now)
			}
		}
	}
	return rejected, rejectedAgain
}

// With a forecast fewer retries are rejected after a burst than with a fixed wait. Also checks the bounds of Wait.
func TestForecast(t *testing.T) {
	c := qt.New(t)
	for rate, ratio := range map[float64]float64{250: 0.3, 400: 0.5, 800: 0.75} {
		_, fixed := simulateBurst(rate, func(int64) int64 { return second / 4 }, func(int64) {})
		var f Forecast
		rejected, rejectedAgain := simulateBurst(rate, func(now int64) int64 { return f.Wait(now, 2*second) }, f.Answered)
		t.Logf("%.0f requests/s: %d rejections, %d of them of retries (%d with a fixed wait)", rate, rejected, rejectedAgain, fixed)
		c.Check(float64(rejectedAgain) < ratio*float64(fixed), qt.IsTrue)
	}
	var f Forecast
	c.Check(f.Wait(0, second) <= second, qt.IsTrue) // no answers counted yet
	for now := int64(0); now < 5*second; now += second / 100 {
		f.Answered(now)
	}
	c.Check(f.Wait(5*second, second), qt.Equals, minWait)
	for range 1000 {
		f.Wait(5*second, second)
	}
	c.Check(f.Wait(5*second, 60*second), qt.Equals, maxWait)
	c.Check(f.Wait(5*second, 0), qt.Equals, int64(0))
	c.Check(f.Wait(60*second, second) <= second, qt.IsTrue) // past retry times don't delay new ones
}
