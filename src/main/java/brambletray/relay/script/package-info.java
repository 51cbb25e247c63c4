/** Incident scripts: YAML read into typed events. */
package brambletray.relay.script;
