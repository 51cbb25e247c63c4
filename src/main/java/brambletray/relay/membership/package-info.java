/** Which hosts exist: the watch of the platform's agent, notices, and the numbering of names and addresses. */
package brambletray.relay.membership;
