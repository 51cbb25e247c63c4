/** Log lines as JSON, with the reason of each event. */
package brambletray.platform.logging;
