package tillerlink.audit;

import tillerlink.model.Effect;
import tillerlink.workload.RequestClassSpec;

/**
 * The auditor's state of a request that a gateway has accepted and that has not ended. Times are
 * tenths of a millisecond.
 */
final class AuditedRequest {
  private static final long NEVER = Long.MIN_VALUE;

  private final int gateway;
  private final RequestClassSpec requestClass;
  private final long clientDeadline;
  private final String key;
  private Auditor.Answer answer;
  private boolean clientDisconnected;
  private int attempts;
  private int attemptsInFlight;

  /** Attempts that have ended without proof that the engine did not execute them. */
  private int attemptsThatMayHaveRun;

  /** Attempts that engines have executed. */
  private int executions;

  /** When the first attempt that may have run was sent; {@link #NEVER} if none may have run. */
  private long firstPossibleRunAt = NEVER;

  /**
   * Creates the state of a request without attempts.
   *
   * @param clientDeadline when the client stops waiting, in tenths of a millisecond
   * @param key the idempotency key, or null
   */
  AuditedRequest(int gateway, RequestClassSpec requestClass, long clientDeadline, String key) {
    this.gateway = gateway;
    this.requestClass = requestClass;
    this.clientDeadline = clientDeadline;
    this.key = key;
  }

  int gateway() {
    return gateway;
  }

  RequestClassSpec requestClass() {
    return requestClass;
  }

  long clientDeadline() {
    return clientDeadline;
  }

  String key() {
    return key;
  }

  boolean isAnswered() {
    return answer != null;
  }

  void onAnswer(Auditor.Answer newAnswer) {
    answer = newAnswer;
  }

  void onClientDisconnected() {
    clientDisconnected = true;
  }

  /** Returns whether the client has received its answer or has disconnected. */
  boolean isClosedForClient() {
    return answer != null || clientDisconnected;
  }

  /** Returns whether the request is closed for its client and has no attempt in flight. */
  boolean hasEnded() {
    return attemptsInFlight <= 0 && isClosedForClient();
  }

  boolean isEffectful() {
    return requestClass.effect() == Effect.EFFECTFUL;
  }

  boolean wasSent() {
    return attempts > 0;
  }

  int executions() {
    return executions;
  }

  void onExecuted() {
    executions++;
  }

  /** Returns whether an attempt that has ended may have run. */
  boolean mayHaveRun() {
    return attemptsThatMayHaveRun > 0;
  }

  /** Returns whether an attempt may have run or is in flight, so that it may still run. */
  boolean mayRunOrHaveRun() {
    return attemptsThatMayHaveRun > 0 || attemptsInFlight > 0;
  }

  /**
   * Returns whether the deduplication window has passed since the first attempt that may have run,
   * so that engines no longer recognize the idempotency key.
   */
  boolean isDeduplicationWindowOver(long now) {
    return requestClass.effect() == Effect.RECEIPTED
        && firstPossibleRunAt != NEVER
        && now >= firstPossibleRunAt + requestClass.window();
  }

  void onAttemptSent(long now) {
    attempts++;
    attemptsInFlight++;
    if (firstPossibleRunAt == NEVER) {
      firstPossibleRunAt = now;
    }
  }

  /**
   * Records the end of an attempt.
   *
   * @param provesNotExecuted whether the engine is known not to have executed the attempt
   */
  void onAttemptEnded(boolean provesNotExecuted) {
    attemptsInFlight--;
    attemptsThatMayHaveRun += provesNotExecuted ? 0 : 1;
    if (attemptsInFlight == 0 && attemptsThatMayHaveRun == 0) {
      firstPossibleRunAt = NEVER;
    }
  }
}
