/**
 * Operations: all attempts of a tenant with one operation key run at most once within the key window (rule TWICE). A
 * claim on the key is replicated and durable before a request is sent; the answer is kept by the edge that ran it, and
 * given to repeats. Pure: time comes in as an argument, messages and effects go out.
 */
package brambletray.platform.operations;
