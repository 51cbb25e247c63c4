package brambletray.relay.http.hosts;

import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.core.CallReply;
import brambletray.relay.message.Message;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Several messages in one call: the body of {@code POST /v1/messages:batch} and what its answer says of each
 * message (the protocol's section on relays and hosts). Loaded only where a kind of host takes bundles.
 */
final class Batch {
    static final String PATH = "/v1/messages:batch";
    private static final JsonFactory JSON = new JsonFactory();
    /** Bytes of a message's entry besides its body, id and key; bytes of Base64 for three of a body. */
    private static final int ENTRY = 32;

    private static final int ENCODED = 4;

    private Batch() {}

    /** Bytes that a message takes in the body of a call, or more. */
    static int size(Message message) {
        int key =
                message.idempotencyKey() == null ? 0 : message.idempotencyKey().length();
        return ENTRY + message.id().length() + key + (message.body().length() / 3 + 1) * ENCODED;
    }

    /** The body of a call; {@code bodies} in the order of the messages. */
    static byte[] body(List<Message> messages, List<byte[]> bodies) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartArray();
            for (int i = 0; i < messages.size(); i++) {
                Message message = messages.get(i);
                out.writeStartObject();
                out.writeStringField("id", message.id());
                if (message.idempotencyKey() != null) {
                    out.writeStringField("key", message.idempotencyKey());
                }
                out.writeBinaryField("body", bodies.get(i));
                out.writeEndObject();
            }
            out.writeEndArray();
        }
        return bytes.toByteArray();
    }

    /**
     * What an answer of 200 says of each message by its id. One that is not named, named with an unknown
     * state or in an answer that cannot be read may have run: callers take those for failed.
     */
    static Map<String, CallReply> replies(CallReply whole, byte[] answer) {
        Map<String, CallReply> replies = new HashMap<>();
        try (JsonParser in = JSON.createParser(answer)) {
            if (in.nextToken() != JsonToken.START_ARRAY) {
                return Map.of();
            }
            while (in.nextToken() == JsonToken.START_OBJECT) {
                String id = null;
                String state = null;
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String name = in.currentName();
                    in.nextToken();
                    if (name.equals("id")) {
                        id = in.getValueAsString();
                    } else if (name.equals("state")) {
                        state = in.getValueAsString();
                    } else {
                        in.skipChildren();
                    }
                }
                CallReply reply = reply(state, whole);
                // Guards against an answer that says two things of one message: it may have run.
                if (id != null && replies.put(id, reply) != null) {
                    replies.put(id, reply("fault", whole));
                }
            }
            boolean atItsEnd = in.currentToken() == JsonToken.END_ARRAY && in.nextToken() == null;
            return atItsEnd ? replies : Map.of();
        } catch (IOException e) {
            return Map.of();
        }
    }

    private static CallReply reply(String state, CallReply whole) {
        return switch (state == null ? "" : state) {
            case "accepted" -> whole.withOutcome(Outcome.OK, true);
            case "deferred" -> whole.withOutcome(Outcome.FULL, false);
            case "expired" -> whole.withOutcome(Outcome.NOT_SENT, true);
            case "no_more" -> whole.withOutcome(Outcome.NOT_SENT, false);
            default -> whole.withOutcome(Outcome.ERROR, false);
        };
    }
}
