// Gossip: the random averaging by which what one router saw spreads to all.

package decision

const gain = 0.5 // the paper's consensus gain

func (d *decider) heard(build int, figures []float64) {
	d.messages += 0.03
	dip := figures[len(figures)-1]
	if build == d.news.Build && dip < 1.5 && d.dipAt == 0 && d.calm > 1.1*d.level*d.speed() {
		d.startDip(int64(dip * float64(second))) // join a test that has just begun
	}
	for i, f := range d.shared() {
		if i >= judging || build == d.news.Build {
			*f += gain * (figures[i] - *f)
		}
	}
}
