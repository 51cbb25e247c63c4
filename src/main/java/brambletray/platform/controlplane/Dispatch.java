package brambletray.platform.controlplane;

import java.util.HashMap;
import java.util.Map;

/**
 * One table for all calls from outside: method, then path segment by segment. A segment {@code *} takes any one and is
 * handed on.
 */
final class Dispatch<H> {
    private final Map<String, Node<H>> methods = new HashMap<>();

    /** What was found, and what a {@code *} stood for (null if there was none). */
    record Found<H>(H handler, String part) {}

    private static final class Node<H> {
        private final Map<String, Node<H>> next = new HashMap<>();
        private H handler;
    }

    /** {@code path}: begins with a slash. Returns this. */
    Dispatch<H> on(String method, String path, H handler) {
        Node<H> node = methods.computeIfAbsent(method, m -> new Node<>());
        for (String segment : path.substring(1).split("/")) {
            node = node.next.computeIfAbsent(segment, s -> new Node<>());
        }
        node.handler = handler;
        return this;
    }

    /** Null: nothing there. {@code path} without its query. */
    Found<H> find(String method, String path) {
        Node<H> node = methods.get(method);
        String part = null;
        int from = 1;
        while (node != null && from <= path.length()) {
            int slash = path.indexOf('/', from);
            String segment = path.substring(from, slash < 0 ? path.length() : slash);
            Node<H> next = node.next.get(segment);
            if (next == null) {
                next = node.next.get("*");
                part = segment;
            }
            node = next;
            from = slash < 0 ? path.length() + 1 : slash + 1;
        }
        return node == null || node.handler == null ? null : new Found<>(node.handler, part);
    }
}
