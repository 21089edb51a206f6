package tillerlink.emulator;

import tillerlink.fakes.EngineReplies;
import tillerlink.net.state.DisconnectReason;

/** A connection as an engine sees it. */
public interface Peer {
  void say(EngineReplies what);

  /** The engine's process breaks it. */
  void cut(DisconnectReason how);
}
