package tillerlink.peering.members;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import tillerlink.cluster.ClusterComponent;
import tillerlink.members.Members;
import tillerlink.messages.envelope.Refusal;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.HttpRequest;
import tillerlink.net.wire.HttpResponse;
import tillerlink.peering.component.HostedComponent;

/** Who is there, for operators: {@code GET /v1/members}. */
public final class MembersHttpHandler implements HostedComponent {
  /** What messages to this part bear. */
  public static final int NUMBER = 1;

  public static final String NAME = "members";
  private static final String PATH = "/v1/members";
  private static final JsonFactory JSON = new JsonFactory();

  private final Members members;
  private final Map<Refusal, Long> refused;

  /**
   * @param refused datagrams that were passed over, as they are counted
   */
  public MembersHttpHandler(Members members, Map<Refusal, Long> refused) {
    this.members = members;
    this.refused = refused;
  }

  @Override
  public int number() {
    return NUMBER;
  }

  @Override
  public ClusterComponent machine() {
    return members;
  }

  @Override
  public boolean takes(String path) {
    return path.equals(PATH);
  }

  @Override
  public void called(long now, long wall, HttpRequest call, GatewayExtension.Reply reply) {
    if (call.method() == HttpRequest.Method.GET) {
      reply.answer(new HttpResponse(200, told(), 0, false));
    } else {
      reply.answer(HttpResponse.problem(405, "Method", 0));
    }
  }

  @Override
  public void drain(long now, long wall) {
    members.leave(now);
  }

  private byte[] told() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(bytes)) {
      json.writeStartObject();
      json.writeStringField("fleet", members.fleet());
      json.writeObjectFieldStart("self");
      one(json, members.self());
      json.writeBooleanField("yielded", members.yielded());
      json.writeEndObject();
      json.writeArrayFieldStart("members");
      for (String name : members.names()) {
        json.writeStartObject();
        one(json, name);
        json.writeStringField("reach", members.reachability(name).name());
        json.writeStringField("address", members.address(name));
        json.writeEndObject();
      }
      json.writeEndArray();
      counts(json);
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private void one(JsonGenerator json, String name) throws IOException {
    json.writeStringField("name", name);
    json.writeStringField("site", members.site(name));
    json.writeNumberField("incarnation", members.incarnation(name));
  }

  private void counts(JsonGenerator json) throws IOException {
    Members.Counts counts = members.counts();
    json.writeObjectFieldStart("counts");
    json.writeNumberField("sent", counts.sent());
    json.writeNumberField("sent_bytes", counts.sentBytes());
    json.writeNumberField("malformed", counts.malformed());
    json.writeNumberField("refuted", counts.refuted());
    json.writeNumberField("away", counts.pauses());
    json.writeNumberField("health", counts.health());
    json.writeEndObject();
    json.writeObjectFieldStart("refused");
    for (Map.Entry<Refusal, Long> kind : refused.entrySet()) {
      json.writeNumberField(kind.getKey().name(), kind.getValue());
    }
    json.writeEndObject();
  }
}
