package tillerlink.peering;

import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.HttpRequest;

/**
 * The gateway interface that is given to components. It wraps the guards of their requests so that
 * the gateway calls them under the watchdog.
 */
record WatchedExtensionContext(GatewayExtension.ExtensionContext gateway, Watchdog watchdog)
    implements GatewayExtension.ExtensionContext {
  private record WatchedGuard(GatewayExtension.Guard guard, Watchdog watchdog)
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
  public void submit(
      HttpRequest request, GatewayExtension.Guard guard, GatewayExtension.Reply reply) {
    gateway.submit(request, new WatchedGuard(guard, watchdog), reply);
  }

  @Override
  public void recheckGuards() {
    gateway.recheckGuards();
  }
}
