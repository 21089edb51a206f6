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
 * One gateway's part in deciding on cuts, one slot after the other, by Paxos with voters that
 * change from slot to slot: it is an acceptor once it has rejoined, and a proposer when it is its
 * turn. Used by the gateway's event loop only; times are tenths of a millisecond.
 */
public final class EpochConsensus {
  private final Proposer proposer;
  private final AcceptorRole acceptor;
  private final RejoinProtocol rejoin;
  private final ProposerRole proposals;

  /** Recovers the acceptor's state from the store; it does not vote before it has rejoined. */
  public EpochConsensus(ConsensusContext context, RandomGenerator random) {
    acceptor = new AcceptorRole(context);
    rejoin = new RejoinProtocol(context, acceptor);
    proposer = new Proposer(context.self(), context.incarnation(), random);
    proposals = new ProposerRole(context, proposer, acceptor);
  }

  /** Takes a message about consensus; others are ignored. */
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

  /** Does what is due; this gateway's own standing must be up to date. */
  public void tick(long now) {
    if (!acceptor.votes()) {
      rejoin.tick(now);
    }
    proposals.tick(now);
  }

  /** The process was paused: the proposal in progress may be decided by now, so it is stopped. */
  public void onPause() {
    proposer.stop();
  }

  /** Returns when the next tick is due. */
  public long dueAt() {
    return proposals.dueAt();
  }

  /**
   * Whether it votes: it has learnt from the others what it may have accepted before it started.
   */
  public boolean votes() {
    return acceptor.votes();
  }

  /** Whether a majority has promised this gateway's ballot, so that it needs no phase 1. */
  public boolean leads() {
    return proposals.leads();
  }
}
