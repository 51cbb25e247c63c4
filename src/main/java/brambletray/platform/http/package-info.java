/** What the HTTP servers and clients of the platform share. */
package brambletray.platform.http;
