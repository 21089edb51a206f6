package tillerlink.emulator;

import tillerlink.net.state.Break;

/** A connection as an engine sees it. */
public interface Peer {
    void say(byte[] bytes);

    /** The engine's process breaks it. */
    void cut(Break how);
}
