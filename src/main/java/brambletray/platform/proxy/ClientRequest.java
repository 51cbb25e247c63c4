package brambletray.platform.proxy;

import brambletray.platform.configuration.Tenant;
import brambletray.platform.operations.OperationKey;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Iterator;

/**
 * A complete request of a client. {@code at}: arrival of its head, ms of the steady clock; {@code bodied}: a body was
 * announced, even if empty.
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

    /** The operation of this tenant, null for nobody, that the headers name; null where they name none, or two. */
    OperationKey operation(Tenant tenant) {
        Iterator<String> keys = headers.valueStringIterator(OPERATION_KEY);
        String key = keys.hasNext() ? keys.next().strip() : "";
        if (key.isEmpty() || keys.hasNext()) {
            return null;
        }
        return OperationKey.of(tenant == null ? "" : tenant.name(), key);
    }
}
