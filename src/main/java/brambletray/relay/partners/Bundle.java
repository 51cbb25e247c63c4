package brambletray.relay.partners;

import brambletray.relay.emulator.Call;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Several messages in one call, as a partner reads them and answers (the protocol's relays and hosts). */
final class Bundle {
    static final String PATH = "/v1/messages:batch";
    private static final JsonFactory JSON = new JsonFactory();

    /** One message of a call; {@code key} null for none. */
    record Part(String id, String key) {}

    private Bundle() {}

    /** The messages of a call; none where its body cannot be read or names a message twice. */
    static List<Part> read(byte[] body) {
        List<Part> parts = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        try (JsonParser in = JSON.createParser(body)) {
            if (in.nextToken() != JsonToken.START_ARRAY) {
                return List.of();
            }
            while (in.nextToken() == JsonToken.START_OBJECT) {
                String id = null;
                String key = null;
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String name = in.currentName();
                    in.nextToken();
                    id = name.equals("id") ? in.getValueAsString() : id;
                    key = name.equals("key") ? in.getValueAsString() : key;
                    in.skipChildren();
                }
                if (id == null || !ids.add(id)) {
                    return List.of();
                }
                parts.add(new Part(id, key));
            }
            return in.currentToken() == JsonToken.END_ARRAY && in.nextToken() == null ? parts : List.of();
        } catch (IOException e) {
            return List.of();
        }
    }

    /** The body of an answer that all messages of a call have been taken. */
    static ByteBuf accepted(Call call) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartArray();
            for (Call message : call.each()) {
                out.writeStartObject();
                out.writeStringField("id", message.message);
                out.writeStringField("state", "accepted");
                out.writeEndObject();
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("bytes in memory cannot fail to be written", e);
        }
        return Unpooled.wrappedBuffer(bytes.toByteArray());
    }
}
