package tillerlink.peering.members;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Map;
import tillerlink.cluster.ClusterComponent;
import tillerlink.members.Members;
import tillerlink.messages.envelope.Refusal;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.HttpRequest;
import tillerlink.net.wire.HttpResponse;
import tillerlink.peering.component.HostedComponent;
import tillerlink.peering.json.JsonBody;

/**
 * The HTTP interface that lists the members of the fleet for operators. It handles {@code GET
 * /v1/members}. The names of the constants of {@link tillerlink.cluster.Reachability} and {@link
 * Refusal} are part of its JSON format.
 */
public final class MembersHttpHandler implements HostedComponent {
  /** The component's number in messages between gateways. */
  public static final int NUMBER = 1;

  /** The component's key prefix in the store on disk. */
  public static final String NAME = "members";

  private static final String PATH = "/v1/members";

  private final Members members;
  private final Map<Refusal, Long> refused;

  /**
   * Creates the handler.
   *
   * @param refused a live view of the number of refused datagrams by reason
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
  public ClusterComponent component() {
    return members;
  }

  @Override
  public boolean handlesPath(String path) {
    return path.equals(PATH);
  }

  @Override
  public void onRequest(long now, long wall, HttpRequest request, GatewayExtension.Reply reply) {
    if (request.method() == HttpRequest.Method.GET) {
      reply.answer(new HttpResponse(200, JsonBody.object(this::writeMembers), 0, false));
    } else {
      reply.answer(HttpResponse.problem(405, "Method", 0));
    }
  }

  @Override
  public void onDrain(long now, long wall) {
    members.leave(now);
  }

  private void writeMembers(JsonGenerator json) throws IOException {
    json.writeStringField("fleet", members.fleet());
    json.writeObjectFieldStart("self");
    writeIdentity(json, members.self());
    json.writeBooleanField("yielded", members.yielded());
    json.writeEndObject();
    json.writeArrayFieldStart("members");
    for (String name : members.names()) {
      json.writeStartObject();
      writeIdentity(json, name);
      json.writeStringField("reach", members.reachability(name).name());
      json.writeStringField("address", members.address(name));
      json.writeEndObject();
    }
    json.writeEndArray();
    writeCounts(json);
  }

  private void writeIdentity(JsonGenerator json, String name) throws IOException {
    json.writeStringField("name", name);
    json.writeStringField("site", members.site(name));
    json.writeNumberField("incarnation", members.incarnation(name));
  }

  private void writeCounts(JsonGenerator json) throws IOException {
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
    for (Map.Entry<Refusal, Long> reason : refused.entrySet()) {
      json.writeNumberField(reason.getKey().name(), reason.getValue());
    }
    json.writeEndObject();
  }
}
