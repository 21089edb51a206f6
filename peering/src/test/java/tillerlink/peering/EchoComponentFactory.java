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
 * Creates a minimal component for tests. It sends a request's body to another gateway and back,
 * persists a text, and violates an invariant or throws an exception on request.
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
      String[] segments = request.path().split("/", -1);
      switch (segments[3]) {
        case "send" -> {
          pending[0] = reply;
          byte[] body = Arrays.copyOf(request.body(), request.body().length + 1);
          context.sender().send(segments[4], body);
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
        case "break" -> Invariant.holds(false, () -> "injected fault,\nsecond line");
        default -> throw new IllegalStateException("exception thrown by the test component");
      }
    }

    private static HttpResponse ok(byte[] body) {
      return new HttpResponse(200, body, 0, false);
    }

    /** Handles a message; its last byte is 0 on the way there and 1 on the way back. */
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
      // The component has no timers.
    }

    @Override
    public long nextDueAt() {
      return Long.MAX_VALUE;
    }

    @Override
    public void onPause(long now, long wall, long lasted) {
      // The component has no deadlines.
    }
  }
}
