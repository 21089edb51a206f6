package tillerlink.peering;

import tillerlink.net.state.Side;
import tillerlink.net.wire.HttpCall;

/**
 * The gateway's door as parts get it: their guards are asked under the watchdog, for the gateway
 * asks them itself.
 */
record WatchedDoor(Side.Door door, Watchdog watchdog) implements Side.Door {
  private record Watched(Side.Guard guard, Watchdog watchdog) implements Side.Guard {
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
  public void submit(HttpCall call, Side.Guard guard, Side.Reply reply) {
    door.submit(call, new Watched(guard, watchdog), reply);
  }

  @Override
  public void recheck() {
    door.recheck();
  }
}
