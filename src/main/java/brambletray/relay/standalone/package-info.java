/**
 * A relay without the platform: configured by one YAML file, its hosts from an inventory, final answers by
 * {@code GET /v1/messages/ID} and posted to a URL.
 */
package brambletray.relay.standalone;
