package tillerlink.channels.consensus;

import java.util.List;
import tillerlink.channels.epoch.Standings;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.recovery.Store;
import tillerlink.channels.sync.ChannelTransport;
import tillerlink.channels.sync.Fetcher;
import tillerlink.channels.sync.SyncServer;

/**
 * What consensus works with at one gateway.
 *
 * @param self this gateway's name
 * @param incarnation this process
 * @param counted the gateways that the operator counts
 * @param absentAfter tenths of a millisecond after which a silent gateway is left out
 * @param journal the events and cuts held here
 * @param store where promises and cuts are persisted
 * @param transport sends messages
 * @param server sends decided cuts to those that lack them
 * @param fetcher has the latest reports of other gateways
 * @param standings how far each gateway's own writing is
 */
public record ConsensusContext(
    String self,
    long incarnation,
    List<String> counted,
    long absentAfter,
    Journal journal,
    Store store,
    ChannelTransport transport,
    SyncServer server,
    Fetcher fetcher,
    Standings standings) {
  /** Copies the list. */
  public ConsensusContext {
    counted = List.copyOf(counted);
  }
}
