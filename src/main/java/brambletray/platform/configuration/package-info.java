/**
 * Creed: the operators' configuration - read, checked, changed by name, in rising revisions - and what a core agrees on
 * about it.
 */
package brambletray.platform.configuration;
