/** Incident scripts: YAML read into typed events. */
package brambletray.script;
