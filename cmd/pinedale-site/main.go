// Command pinedale-site is pinedale for installations of the operator's own: fronts
// and sources of membership that the platform does not give, switched on by the
// operator's file.
package main

import (
	"encoding/json"
	"errors"
	"flag"
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

	"pinedale/internal/intake"
	"pinedale/internal/policy"
	"pinedale/internal/site"
)

const usage = `usage: pinedale-site serve -config FILE
       pinedale-site check -config FILE [-json]
       pinedale-site explain -config FILE METHOD PATH ["Header: value"...]

  serve    serve as the operator's file (TOML) says; SIGTERM ends the service in order,
           SIGHUP has the file read again: classes, routes, limits and servers change,
           or nothing does
  check    read the file, say what is wrong with it or unwise, and print what its
           classes and routes come to
  explain  say which route and class a request gets, and why no other route does
`

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "pinedale-site:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	if len(args) == 0 || args[0] != "serve" && args[0] != "check" && args[0] != "explain" {
		return errors.New("a command is missing\n" + usage)
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	path := flags.String("config", "", "the operator's file")
	asJSON := new(bool)
	if args[0] == "check" {
		asJSON = flags.Bool("json", false, "print the table as JSON")
	}
	err := flags.Parse(args[1:])
	if rest := flags.NArg(); err != nil || *path == "" || args[0] == "explain" && rest < 2 || args[0] != "explain" && rest > 0 {
		return errors.New("-config FILE is what a command takes\n" + usage)
	}
	if args[0] == "serve" {
		return serve(*path)
	}
	f, err := load(*path)
	if err != nil {
		return err
	}
	if args[0] == "explain" {
		return explain(out, f, flags.Args())
	}
	return check(out, *path, f, *asJSON)
}

// check prints what a good file comes to.
func check(out io.Writer, path string, f *site.File, asJSON bool) error {
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
		fmt.Fprintf(out, "%s route[%d] (%s): %s\n", mark, r.Route, name, r.Why)
	}
	return nil
}

// load reads the file. Its error has a line for each fault, with the file's name.
func load(path string) (*site.File, error) {
	return told(path, func() (*site.File, error) { return site.Load(path) })
}

func told(path string, load func() (*site.File, error)) (*site.File, error) {
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

func serve(path string) error {
	// Unhandled, SIGHUP would end the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	f, err := load(path)
	if err != nil {
		return err
	}
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
				log.Info("ending", "signal", s.String())
				i.Shutdown()
				continue
			}
			next, err := told(path, func() (*site.File, error) { return i.Next(path) })
			if err == nil {
				err = i.Reload(next)
			}
			if err != nil {
				log.Error("configuration not reloaded, the old one holds", "error", err, "table", i.Table().Version)
			}
		}
	}()
	return i.Wait()
}
