/** Unchecked errors with a code; each plane has its own subclass. */
package brambletray.platform.errors;
