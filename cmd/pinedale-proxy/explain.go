package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"pinedale/internal/config"
	"pinedale/internal/policy"
	"pinedale/internal/requestmeta"
)

// explain prints the class of a request, and why each route is selected or not. args are the method, the path and
// headers.
func explain(out io.Writer, file *config.File, args []string) error {
	query, err := parseQuery(args)
	if err != nil {
		return err
	}
	table := file.Table()
	if !table.HasRoutes() {
		return explainUnrouted(out, table, query)
	}
	if policy.IsAmbiguousPath(query.Path) {
		return fmt.Errorf("the path %q contains //, /. or /.., and gets no route", query.Path)
	}
	if bounds, ok := table.Lookup(query); ok {
		fmt.Fprintf(out, "class %s\n", bounds.ClassName)
	} else {
		fmt.Fprintln(out, "no route: 404")
	}
	for _, reason := range table.Explain(query) {
		mark := " "
		if reason.Selected {
			mark = ">"
		}
		fmt.Fprintf(out, "%s route[%d] (%s): %s\n", mark, reason.Route, routeTitle(file, reason.Route), reason.Text)
	}
	return nil
}

// routeTitle returns the name of a route, or the class of a route without one.
func routeTitle(file *config.File, route int) string {
	name := file.Routes[route].Name
	if name == "" {
		return "of class " + file.Routes[route].Class
	}
	return name
}

// parseQuery parses the arguments of explain.
func parseQuery(args []string) (*policy.Query, error) {
	location, err := url.Parse(args[1])
	if err != nil {
		return nil, err
	}
	header := http.Header{}
	query := &policy.Query{Method: args[0], Host: location.Host, Path: location.Path, Header: header}
	for _, line := range args[2:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return nil, fmt.Errorf("%q is not a header, such as \"X-Account: duka\"", line)
		}
		value = strings.TrimSpace(value)
		if strings.EqualFold(name, "host") {
			query.Host = value
			continue
		}
		header.Add(strings.TrimSpace(name), value)
	}
	return query, nil
}

// explainUnrouted prints the class that a request names, for a file without routes.
func explainUnrouted(out io.Writer, table *policy.Table, query *policy.Query) error {
	name := http.Header(query.Header).Get(requestmeta.HeaderClass)
	if _, ok := table.ClassBounds(name); !ok {
		return fmt.Errorf("the file has no routes, so a request names its class in the %s header: no class is named %q",
			requestmeta.HeaderClass, name)
	}
	fmt.Fprintf(out, "class %s, from the request: the file has no routes\n", name)
	return nil
}
