package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"portflow/internal/router/flow"
	"portflow/internal/router/flow/ipfix"
)

// flows are the sub-commands for the engineer's desk.
func flows() *cobra.Command {
	var asJSON bool
	var by, network string
	var most int
	enterprise := uint32(ipfix.Documentation)
	root := &cobra.Command{Use: "flows", Short: "read flow records that routers export"}
	root.PersistentFlags().Uint32Var(&enterprise, "enterprise", enterprise, "the enterprise number of portflow's elements")
	decode := &cobra.Command{Use: "decode FILE", Short: "print the records of a file of IPFIX messages (RFC 5655)", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			p := newPrinter(c.OutOrStdout(), asJSON)
			if err := file(args[0], enterprise, p.print); err != nil {
				return failure{errors.Join(err, p.close())}
			}
			return p.close()
		}}
	top := &cobra.Command{Use: "top FILE", Short: "print who has most in a file of IPFIX messages", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			of, known := groups[by]
			if !known {
				return fmt.Errorf("--by: %q is not carrier, band, host or side", by)
			}
			sums := map[string]flow.Counts{}
			if err := file(args[0], enterprise, func(r ipfix.Read) {
				s := sums[of(r)]
				s.Add(r.Counts)
				sums[of(r)] = s
			}); err != nil {
				return failure{err}
			}
			return ranked(c.OutOrStdout(), by, sums, most)
		}}
	top.Flags().StringVar(&by, "by", "carrier", "carrier, band, host or side")
	top.Flags().IntVarP(&most, "most", "n", 10, "so many at most")
	listen := &cobra.Command{Use: "listen ADDRESS", Short: "print the records that come to an address", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			p := newPrinter(c.OutOrStdout(), asJSON)
			p.flush = true
			if err := collect(network, args[0], enterprise, p.print); err != nil {
				return failure{err}
			}
			return nil
		}}
	listen.Flags().StringVar(&network, "network", "udp", "udp or tcp")
	for _, c := range []*cobra.Command{decode, listen} {
		c.Flags().BoolVar(&asJSON, "json", false, "one JSON object a line")
	}
	root.AddCommand(decode, top, listen)
	return root
}

var groups = map[string]func(ipfix.Read) string{
	"carrier": func(r ipfix.Read) string { return r.CarrierName },
	"band":    func(r ipfix.Read) string { return r.BandName },
	"host":    func(r ipfix.Read) string { return r.Host },
	"side":    func(r ipfix.Read) string { return sides[r.Side&1] },
}

var sides = [2]string{"clients", "hosts"}

// file reads a file's messages; what is wrong is told with its octet.
func file(path string, enterprise uint32, each func(ipfix.Read)) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := stream(f, ipfix.NewDecoder(enterprise), each); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// stream reads messages one after another until the end.
func stream(in io.Reader, d *ipfix.Decoder, each func(ipfix.Read)) error {
	for at, head := 0, make([]byte, 4); ; {
		if _, err := io.ReadFull(in, head); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("octet %d: %w", at, err)
		}
		n, err := ipfix.Length(head)
		if err != nil {
			return fmt.Errorf("octet %d: %w", at, err)
		}
		b := append(make([]byte, 0, n), head...)[:n]
		if _, err := io.ReadFull(in, b[4:]); err != nil {
			return fmt.Errorf("octet %d: a message of %d octets: %w", at, n, err)
		}
		if err := d.Message(b, func(x ipfix.Data) {
			if r, ok := d.Flow(x); ok {
				each(r)
			}
		}); err != nil {
			return fmt.Errorf("octet %d: %w", at, err)
		}
		at += n
	}
}

// collect reads what comes until the process ends. Bad datagrams are passed over; a bad stream is closed.
func collect(network, address string, enterprise uint32, each func(ipfix.Read)) error {
	if network == "udp" {
		l, err := net.ListenPacket("udp", address)
		if err != nil {
			return err
		}
		defer l.Close()
		d := ipfix.NewDecoder(enterprise)
		for b := make([]byte, 1<<16); ; {
			n, _, err := l.ReadFrom(b)
			if err != nil {
				return err
			}
			d.Message(b[:n], func(x ipfix.Data) {
				if r, ok := d.Flow(x); ok {
					each(r)
				}
			})
		}
	}
	l, err := net.Listen(network, address)
	if err != nil {
		return err
	}
	defer l.Close()
	records := make(chan ipfix.Read)
	go func() {
		for r := range records {
			each(r)
		}
	}()
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			if err := stream(conn, ipfix.NewDecoder(enterprise), func(r ipfix.Read) { records <- r }); err != nil {
				fmt.Fprintln(os.Stderr, "portflow:", conn.RemoteAddr(), err)
			}
		}()
	}
}

// printer prints records as a table, or as JSON.
type printer struct {
	out   io.Writer
	table *tabwriter.Writer
	flush bool
}

func newPrinter(out io.Writer, asJSON bool) *printer {
	p := &printer{out: out}
	if !asJSON {
		p.table = tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
		fmt.Fprintln(p.table, "end\tside\tsource\tdestination\tcarrier\tband\thost\tcommands\tforward\treverse\treason\trecords")
	}
	return p
}

func (p *printer) print(r ipfix.Read) {
	if p.table == nil {
		json.NewEncoder(p.out).Encode(r)
		return
	}
	source, destination := "-", "-"
	if r.Source.IsValid() {
		source, destination = r.Source.String(), r.Destination.String()
	}
	fmt.Fprintf(p.table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", time.Unix(0, r.End).UTC().Format(time.RFC3339Nano), sides[r.Side&1],
		source, destination, r.CarrierName, r.BandName, r.Host, r.Commands, r.Forward, r.Reverse, r.Reason, r.Many)
	if p.flush {
		p.table.Flush()
	}
}

func (p *printer) close() error {
	if p.table == nil {
		return nil
	}
	return p.table.Flush()
}

// ranked prints sums, the greatest first.
func ranked(out io.Writer, by string, sums map[string]flow.Counts, most int) error {
	type row struct {
		name string
		flow.Counts
	}
	var rows []row
	for name, c := range sums {
		rows = append(rows, row{cmp.Or(name, "-"), c})
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(b.Forward+b.Reverse, a.Forward+a.Reverse), cmp.Compare(a.name, b.name))
	})
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(table, "%s\tcommands\toctets\n", by)
	for _, r := range rows[:min(len(rows), max(0, most))] {
		fmt.Fprintf(table, "%s\t%d\t%d\n", r.name, r.Commands, r.Forward+r.Reverse)
	}
	return table.Flush()
}
