/** The clock and the process services that a program runs on. */
package brambletray.common.runtime;
