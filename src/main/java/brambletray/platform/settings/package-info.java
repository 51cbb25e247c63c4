/** Berth: what a process is told of its place - the settings file, read, typed and checked. */
package brambletray.platform.settings;
