package tillerlink.peering;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import tillerlink.cluster.ClusterComponent;
import tillerlink.cluster.Invariant;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.HttpRequest;
import tillerlink.net.wire.HttpResponse;
import tillerlink.peering.component.ComponentContext;
import tillerlink.peering.component.ComponentFactory;
import tillerlink.peering.component.HostedComponent;

/**
 * A minimal component: it sends a body to another gateway and back, persists a text, and violates
 * an invariant or throws on request.
 */
final class EchoComponentFactory implements ComponentFactory {
  @Override
  public int number() {
    return 250;
  }

  @Override
  public String name() {
    return "echo";
  }

  @Override
  public HostedComponent create(ComponentContext context) {
    return new EchoComponent(context);
  }

  private record EchoComponent(ComponentContext context, GatewayExtension.Reply[] pending)
      implements HostedComponent, ClusterComponent {
    EchoComponent(ComponentContext context) {
      this(context, new GatewayExtension.Reply[1]);
    }

    @Override
    public int number() {
      return 250;
    }

    @Override
    public ClusterComponent component() {
      return this;
    }

    @Override
    public boolean handlesPath(String path) {
      return path.startsWith("/v1/echo/");
    }

    @Override
    public void onRequest(long now, long wall, HttpRequest request, GatewayExtension.Reply reply) {
      String[] words = request.path().split("/", -1);
      switch (words[3]) {
        case "send" -> {
          pending[0] = reply;
          byte[] body = Arrays.copyOf(request.body(), request.body().length + 1);
          context.sender().send(words[4], body);
        }
        case "keep" -> {
          if (!context
              .store()
              .set(
                  "text",
                  request.body(),
                  () -> reply.answer(ok("kept".getBytes(StandardCharsets.UTF_8))))) {
            reply.answer(HttpResponse.problem(503, "Disk", 0));
          }
        }
        case "found" ->
            reply.answer(ok(context.store().initialEntries().getOrDefault("text", new byte[0])));
        case "break" -> Invariant.holds(false, () -> "planted,\nto be seen");
        default -> throw new IllegalStateException("a fault of this part");
      }
    }

    private static HttpResponse ok(byte[] body) {
      return new HttpResponse(200, body, 0, false);
    }

    /** The last byte says whether it comes back. */
    @Override
    public void onMessage(long now, long wall, String from, byte[] body) {
      if (body[body.length - 1] == 0) {
        body[body.length - 1] = 1;
        context.sender().send(from, body);
      } else if (pending[0] != null) {
        pending[0].answer(ok(Arrays.copyOf(body, body.length - 1)));
      }
    }

    @Override
    public void tick(long now, long wall) {
      // Nothing falls due.
    }

    @Override
    public long nextDueAt() {
      return Long.MAX_VALUE;
    }

    @Override
    public void onPause(long now, long wall, long lasted) {
      // Nothing of it runs out.
    }
  }
}
