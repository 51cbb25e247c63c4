/**
 * The relay in service: delivers messages to partner systems, on its own or beside others of its kind. Its design is in
 * {@code docs/design.md}.
 */
package brambletray.relay;
