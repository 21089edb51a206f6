package tillerlink.emulator;

/** What may go otherwise than usual in a world, decided point by point. */
@FunctionalInterface
public interface Choices {
  /** Nothing does. */
  Choices NONE = (point, options) -> 0;

  /**
   * @param point what is decided
   * @param options how many ways there are
   * @return 0 for the usual one
   */
  int choose(String point, int options);
}
