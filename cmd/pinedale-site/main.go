// Command pinedale-site is pinedale for installations of the operator's own: fronts
// and sources of membership that the platform does not give, switched on by the
// operator's file.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pinedale/internal/cluster"
	"pinedale/internal/intake"
	"pinedale/internal/keyroom"
	"pinedale/internal/policy"
	"pinedale/internal/site"
)

func main() {
	if err := program(os.Stdout).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "pinedale-site:", err)
		os.Exit(1)
	}
}

// program is the command line.
func program(out io.Writer) *cobra.Command {
	var path string
	root := &cobra.Command{Use: "pinedale-site", Short: "pinedale for installations of the operator's own", SilenceErrors: true, SilenceUsage: true,
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			return errors.New("a command is missing\n" + c.UsageString())
		}}
	root.SetOut(out)
	root.CompletionOptions.DisableDefaultCmd = true
	root.PersistentFlags().StringVar(&path, "config", "", "the operator's file (TOML)")
	// with gives a command the file, which all of them need.
	with := func(do func(f *site.File, args []string) error) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, args []string) error {
			if path == "" {
				return errors.New("--config FILE is what a command takes\n" + c.UsageString())
			}
			f, err := load(path)
			if err != nil {
				return err
			}
			return do(f, args)
		}
	}
	root.AddCommand(&cobra.Command{Use: "serve", Short: "serve as the file says", Args: cobra.NoArgs,
		Long: "Serve as the operator's file says. SIGTERM ends the service in order. SIGHUP has the file and all keys read\nagain: classes, routes, limits and servers change, or nothing does.",
		RunE: func(c *cobra.Command, args []string) error {
			// Unhandled, SIGHUP would end the process, also while it reads its file.
			signals := make(chan os.Signal, 4)
			signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
			return with(func(f *site.File, _ []string) error { return serve(path, f, signals) })(c, args)
		}})
	var asJSON bool
	check := &cobra.Command{Use: "check", Short: "say what is wrong with the file, and what its classes and routes come to", Args: cobra.NoArgs,
		RunE: with(func(f *site.File, _ []string) error { return printCheck(out, path, f, asJSON) })}
	check.Flags().BoolVar(&asJSON, "json", false, "print the table as JSON")
	root.AddCommand(check, &cobra.Command{Use: "explain METHOD PATH ['Header: value'...]", Short: "say which route and class a request gets, and why", Args: cobra.MinimumNArgs(2),
		RunE: with(func(f *site.File, args []string) error { return explain(out, f, args) })})
	keys := &cobra.Command{Use: "keys", Short: "certificates, keys and trust"}
	keys.AddCommand(&cobra.Command{Use: "show", Short: "print what the file's keys hold, and how servers are verified", Args: cobra.NoArgs,
		RunE: with(func(f *site.File, _ []string) error { return f.ShowKeys(out, time.Now()) })})
	var instead keyroom.Paths
	verify := &cobra.Command{Use: "verify NAME", Short: "say whether new files would be taken for the keys of this name", Args: cobra.ExactArgs(1),
		RunE: with(func(f *site.File, args []string) error {
			if err := f.VerifyKeys(args[0], instead); err != nil {
				return err
			}
			fmt.Fprintln(out, "good: these files would be taken")
			return nil
		})}
	verify.Flags().StringVar(&instead.Cert, "cert", "", "the certificate, in place of cert_file")
	verify.Flags().StringVar(&instead.Key, "key", "", "its key, in place of key_file")
	verify.Flags().StringVar(&instead.Roots, "roots", "", "in place of roots_file")
	verify.Flags().StringVar(&instead.Revoked, "revoked", "", "in place of revoked_file")
	keys.AddCommand(verify)
	root.AddCommand(keys, peersCommand(out, with))
	return root
}

// peersCommand is on what instances tell each other. Addresses are those of peers.status.
func peersCommand(out io.Writer, with func(func(*site.File, []string) error) func(*cobra.Command, []string) error) *cobra.Command {
	fetch := func(address string) (s cluster.Status, err error) {
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		if s, err = cluster.Fetch(ctx, address); err != nil {
			return s, fmt.Errorf("peers: %w", err)
		}
		return s, nil
	}
	show := func(address string) error {
		s, err := fetch(address)
		if err != nil {
			return err
		}
		return s.Print(out)
	}
	all := &cobra.Command{Use: "peers", Short: "other instances, and what they tell"}
	all.AddCommand(&cobra.Command{Use: "show [HOST:PORT]", Short: "print what an instance holds: the file's, or that whose status is served there", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 1 {
				return show(args[0])
			}
			return with(func(f *site.File, _ []string) error {
				if f.Peers.Status == "" {
					return errors.New("peers.status is not set in the file")
				}
				return show(f.Peers.Status)
			})(c, args)
		}}, &cobra.Command{Use: "diff HOST:PORT HOST:PORT", Short: "name what two instances hold otherwise", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			a, err := fetch(args[0])
			if err != nil {
				return err
			}
			b, err := fetch(args[1])
			if err != nil {
				return err
			}
			lines := cluster.Diff(&a, &b)
			for _, l := range lines {
				fmt.Fprintln(out, l)
			}
			if len(lines) > 0 {
				return fmt.Errorf("%d differences", len(lines))
			}
			fmt.Fprintln(out, "both hold the same")
			return nil
		}})
	return all
}

// printCheck prints what a good file comes to.
func printCheck(out io.Writer, path string, f *site.File, asJSON bool) error {
	t := f.Table()
	if asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		var warnings []string
		for _, w := range f.Warnings() {
			warnings = append(warnings, w.Error())
		}
		return enc.Encode(struct {
			Version  string       `json:"version"`
			Warnings []string     `json:"warnings"`
			Rows     []policy.Row `json:"rows"`
		}{t.Version, warnings, t.Rows()})
	}
	fmt.Fprintf(out, "%s: good: %s\n", path, f.Summary())
	for _, w := range f.Warnings() {
		fmt.Fprintf(out, "  warning: %v\n", w)
	}
	fmt.Fprintf(out, "table %s\n", t.Version)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "route\tmatches\tclass\tpool\tdeadline\ttry for\tattempts\tcopy after\tretries a request\tburst")
	dash := func(s string) string {
		if s == "" {
			return "-"
		}
		return s
	}
	for _, r := range t.Rows() {
		after := dash(r.CopyAfter)
		if !r.Copies {
			after = "never"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%g\t%g\n", dash(r.Route), dash(r.Match), r.Class, dash(r.Pool), r.Deadline, dash(r.TryFor), r.Attempts, after, r.Share, r.Burst)
	}
	return w.Flush()
}

// explain says how a request fares with the routes.
func explain(out io.Writer, f *site.File, args []string) error {
	q := policy.Query{Method: args[0], Header: http.Header{}}
	u, err := url.Parse(args[1])
	if err != nil {
		return err
	}
	q.Path, q.Host = u.Path, u.Host
	for _, line := range args[2:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return fmt.Errorf("%q is not a header, such as \"X-Account: duka\"", line)
		}
		if value = strings.TrimSpace(value); strings.EqualFold(name, "host") {
			q.Host = value
			continue
		}
		http.Header(q.Header).Add(strings.TrimSpace(name), value)
	}
	t := f.Table()
	if !t.Routed() {
		name := http.Header(q.Header).Get(intake.HeaderClass)
		if _, ok := t.OfClass(name); !ok {
			return fmt.Errorf("the file has no routes: a request names its class in %s, and %q is none", intake.HeaderClass, name)
		}
		fmt.Fprintf(out, "class %s, as the request says: the file has no routes\n", name)
		return nil
	}
	if policy.Unclean(q.Path) {
		return fmt.Errorf("the path %q has //, /. or /.., and gets no route", q.Path)
	}
	if b, ok := t.Lookup(&q); ok {
		fmt.Fprintf(out, "class %s\n", b.ClassName)
	} else {
		fmt.Fprintln(out, "no route: 404")
	}
	for _, r := range t.Explain(&q) {
		name, mark := f.Routes[r.Route].Name, " "
		if name == "" {
			name = "of class " + f.Routes[r.Route].Class
		}
		if r.Taken {
			mark = ">"
		}
		fmt.Fprintf(out, "%s route[%d] (%s): %s\n", mark, r.Route, name, r.Text)
	}
	return nil
}

// load reads the file. Its error has a line for each fault, with the file's name.
func load(path string) (*site.File, error) {
	return loadWith(path, func() (*site.File, error) { return site.Load(path) })
}

// loadWith is load with another function that reads the file.
func loadWith(path string, load func() (*site.File, error)) (*site.File, error) {
	f, err := load()
	if err == nil {
		return f, nil
	}
	lines := strings.Split(err.Error(), "\n")
	if len(lines) == 1 {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return nil, errors.New(path + ":\n  " + strings.Join(lines, "\n  "))
}

// serve runs an instance until a signal other than SIGHUP, and reloads its file on SIGHUP.
func serve(path string, f *site.File, signals <-chan os.Signal) error {
	f.UseMemory()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("instance", f.Name)
	i, err := site.Start(f, log)
	if err != nil {
		return err
	}
	log.Info("serving", "http", fmt.Sprint(i.HTTP), "http3", fmt.Sprint(i.HTTP3), "ext_proc", fmt.Sprint(i.ExtProc))
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				log.Info("shutting down", "signal", s.String())
				i.Shutdown()
				continue
			}
			next, err := loadWith(path, func() (*site.File, error) { return i.Next(path) })
			if err == nil {
				err = i.Reload(next)
			}
			if err != nil {
				log.Error("configuration reload failed", "path", path, "err", err, "table", i.Table().Version)
			}
		}
	}()
	return i.Wait()
}
