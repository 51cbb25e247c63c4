package brambletray.platform.proxy;

import brambletray.platform.operations.OperationIdentity;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Iterator;

/**
 * A complete request of a client.
 *
 * @param hasBody whether a body was announced, even if empty
 * @param receivedAtMs arrival of the head, ms of the monotonic clock
 */
record ClientRequest(String method, String uri, HttpHeaders headers, ByteBuf body, boolean hasBody, long receivedAtMs) {
    static final String ID = "brambletray-attempt-id";
    static final String REMAINING = "brambletray-deadline-remaining";
    static final String TARGET = "brambletray-target-instance";
    static final String CREDENTIAL = "brambletray-credential";
    static final String TENANT = "brambletray-tenant-name";
    static final String OPERATION_KEY = "brambletray-operation-key";
    static final String SEAL = "brambletray-response-seal";
    static final String NOT_EXECUTED = "brambletray-not-executed";

    boolean isHeadRequest() {
        return method.equals("HEAD");
    }

    /** The path without its query. */
    String path() {
        return path(uri);
    }

    static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    void release() {
        body.release();
    }

    /**
     * The operation identified by the headers' operation key, which is scoped to the tenant and the credential.
     *
     * @return null if the headers have no key, or more than one
     */
    OperationIdentity operation(TenantAuthentication authentication) {
        Iterator<String> keys = headers.valueStringIterator(OPERATION_KEY);
        String key = keys.hasNext() ? keys.next().strip() : "";
        if (key.isEmpty() || keys.hasNext()) {
            return null;
        }
        return OperationIdentity.of(authentication.tenantName(), authentication.credential(), key);
    }
}
