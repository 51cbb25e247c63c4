/**
 * Operations: all attempts of a tenant with the same operation key run at most once within the key window (rule
 * TWICE). A claim on the key is replicated and durable before a request is sent. The edge that sent the request keeps
 * the answer and returns it to repeated attempts. Pure: callers pass the time, messages and effects are returned.
 */
package brambletray.platform.operations;
