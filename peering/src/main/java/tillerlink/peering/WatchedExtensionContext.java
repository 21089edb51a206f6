package tillerlink.peering;

import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.HttpRequest;

/**
 * The gateway's door as parts get it: their guards are asked under the watchdog, for the gateway
 * asks them itself.
 */
record WatchedExtensionContext(GatewayExtension.ExtensionContext door, Watchdog watchdog)
    implements GatewayExtension.ExtensionContext {
  private record Watched(GatewayExtension.Guard guard, Watchdog watchdog)
      implements GatewayExtension.Guard {
    @Override
    public boolean holds() {
      return watchdog.get(guard::holds);
    }

    @Override
    public long retryAfter() {
      return watchdog.get(guard::retryAfter);
    }

    @Override
    public void onAttemptStarted() {
      watchdog.run(guard::onAttemptStarted);
    }

    @Override
    public void onAttemptEnded(long mayRunUntil) {
      watchdog.run(() -> guard.onAttemptEnded(mayRunUntil));
    }
  }

  @Override
  public void submit(HttpRequest call, GatewayExtension.Guard guard, GatewayExtension.Reply reply) {
    door.submit(call, new Watched(guard, watchdog), reply);
  }

  @Override
  public void recheckGuards() {
    door.recheckGuards();
  }
}
