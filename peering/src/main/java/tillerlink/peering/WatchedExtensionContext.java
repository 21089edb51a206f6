package tillerlink.peering;

import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.HttpRequest;

/**
 * The gateway's door as parts get it: their guards are asked under the watchdog, for the gateway
 * asks them itself.
 */
record WatchedExtensionContext(GatewayExtension.Door door, Watchdog watchdog)
    implements GatewayExtension.Door {
  private record Watched(GatewayExtension.Guard guard, Watchdog watchdog)
      implements GatewayExtension.Guard {
    @Override
    public boolean holds() {
      return watchdog.get(guard::holds);
    }

    @Override
    public long comeBack() {
      return watchdog.get(guard::comeBack);
    }

    @Override
    public void began() {
      watchdog.run(guard::began);
    }

    @Override
    public void ended(long mayRunUntil) {
      watchdog.run(() -> guard.ended(mayRunUntil));
    }
  }

  @Override
  public void submit(HttpRequest call, GatewayExtension.Guard guard, GatewayExtension.Reply reply) {
    door.submit(call, new Watched(guard, watchdog), reply);
  }

  @Override
  public void recheck() {
    door.recheck();
  }
}
