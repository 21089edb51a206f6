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
 * The smallest part there can be: it sends a body to another and back, keeps a text, and breaks
 * when it is told to.
 */
final class Echo implements ComponentFactory {
  @Override
  public int number() {
    return 250;
  }

  @Override
  public String name() {
    return "echo";
  }

  @Override
  public HostedComponent attach(ComponentContext ground) {
    return new Machine(ground);
  }

  private record Machine(ComponentContext ground, GatewayExtension.Reply[] owed)
      implements HostedComponent, ClusterComponent {
    Machine(ComponentContext ground) {
      this(ground, new GatewayExtension.Reply[1]);
    }

    @Override
    public int number() {
      return 250;
    }

    @Override
    public ClusterComponent machine() {
      return this;
    }

    @Override
    public boolean takes(String path) {
      return path.startsWith("/v1/echo/");
    }

    @Override
    public void called(long now, long wall, HttpRequest call, GatewayExtension.Reply reply) {
      String[] words = call.path().split("/");
      switch (words[3]) {
        case "send" -> {
          owed[0] = reply;
          byte[] body = Arrays.copyOf(call.body(), call.body().length + 1);
          ground.post().send(words[4], body);
        }
        case "keep" -> {
          if (!ground
              .keep()
              .set(
                  "text",
                  call.body(),
                  () -> reply.answer(said("kept".getBytes(StandardCharsets.UTF_8))))) {
            reply.answer(HttpResponse.problem(503, "Disk", 0));
          }
        }
        case "found" ->
            reply.answer(said(ground.keep().initialEntries().getOrDefault("text", new byte[0])));
        case "break" -> Invariant.holds(false, () -> "planted,\nto be seen");
        default -> throw new IllegalStateException("a fault of this part");
      }
    }

    private static HttpResponse said(byte[] body) {
      return new HttpResponse(200, body, 0, false);
    }

    /** The last byte says whether it comes back. */
    @Override
    public void onMessage(long now, long wall, String from, byte[] body) {
      if (body[body.length - 1] == 0) {
        body[body.length - 1] = 1;
        ground.post().send(from, body);
      } else if (owed[0] != null) {
        owed[0].answer(said(Arrays.copyOf(body, body.length - 1)));
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
