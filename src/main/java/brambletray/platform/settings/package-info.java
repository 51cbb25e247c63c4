/**
 * The settings file that tells a process its name, addresses, limits and peers: read, typed and checked.
 */
package brambletray.platform.settings;
