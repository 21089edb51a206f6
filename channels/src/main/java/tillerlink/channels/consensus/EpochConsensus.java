package tillerlink.channels.consensus;

import java.util.List;
import java.util.random.RandomGenerator;
import tillerlink.channels.epoch.Proposer;
import tillerlink.messages.channels.ChannelsMessage;
import tillerlink.messages.channels.ChannelsMessage.Accept;
import tillerlink.messages.channels.ChannelsMessage.Accepted;
import tillerlink.messages.channels.ChannelsMessage.Answer;
import tillerlink.messages.channels.ChannelsMessage.Ask;
import tillerlink.messages.channels.ChannelsMessage.Life;
import tillerlink.messages.channels.ChannelsMessage.Prepare;
import tillerlink.messages.channels.ChannelsMessage.Promise;

/**
 * One gateway's part in deciding on cuts, one slot after the other, by Paxos with voters that can
 * change from slot to slot. The gateway is an acceptor once it has rejoined, and a proposer when it
 * is its turn. Not thread-safe: used by the gateway's event loop only. Times are tenths of a
 * millisecond.
 */
public final class EpochConsensus {
  private final Proposer proposer;
  private final AcceptorRole acceptor;
  private final RejoinProtocol rejoin;
  private final ProposerRole proposerRole;

  /**
   * Recovers the acceptor's state from the store. The acceptor does not vote before it has
   * rejoined.
   *
   * @param context the configuration and collaborators
   * @param random the source of the random part of back-off times
   */
  public EpochConsensus(ConsensusContext context, RandomGenerator random) {
    acceptor = new AcceptorRole(context);
    rejoin = new RejoinProtocol(context, acceptor);
    proposer = new Proposer(context.self(), context.incarnation(), random);
    proposerRole = new ProposerRole(context, proposer, acceptor);
  }

  /** Handles a consensus message from another gateway; other messages are ignored. */
  public void onMessage(long now, String from, ChannelsMessage message) {
    if (message instanceof Ask ask) {
      acceptor.onStarted(from, ask.incarnation());
      proposer.onLives(List.of(new Life(from, ask.incarnation())));
      acceptor.answer(from, ask);
    } else if (message instanceof Answer answer) {
      rejoin.onAnswer(from, answer);
    } else if (message instanceof Prepare prepare) {
      proposer.onBallot(now, prepare.ballot());
      acceptor.onPrepare(from, prepare);
    } else if (message instanceof Promise promise) {
      proposer.onPromise(now, from, promise);
      proposer.onLives(promise.lives());
    } else if (message instanceof Accept accept) {
      proposer.onBallot(now, accept.ballot());
      acceptor.onAccept(from, accept);
    } else if (message instanceof Accepted accepted) {
      proposer.onAccepted(now, from, accepted);
      proposer.onLives(accepted.lives());
    }
  }

  /**
   * Performs the work that is due: rejoining and proposing. This gateway's own standing must be up
   * to date.
   */
  public void tick(long now) {
    if (!acceptor.votes()) {
      rejoin.tick(now);
    }
    proposerRole.tick(now);
  }

  /**
   * Abandons the proposal in progress after a pause of the process, because its slot may have been
   * decided meanwhile.
   */
  public void onPause() {
    proposer.stop();
  }

  /** Returns the time at which the next tick is due. */
  public long dueAt() {
    return proposerRole.dueAt();
  }

  /**
   * Returns whether this gateway's acceptor votes. It does once the other gateways have answered
   * what earlier processes of this gateway may have promised and accepted.
   */
  public boolean votes() {
    return acceptor.votes();
  }

  /**
   * Returns whether a majority of the voters has promised this gateway's ballot, so that its next
   * proposal needs no phase 1.
   */
  public boolean leads() {
    return proposerRole.leads();
  }
}
