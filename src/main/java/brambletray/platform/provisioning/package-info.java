/**
 * The yard: which hosts there are, who is their home, on which worker the next one starts, and the platform's calls.
 * One process at a time has it, with the duty; its successor starts with nothing and is told by the edges.
 */
package brambletray.platform.provisioning;
