package org.cuminwell.app;

/** Is one subcommand of the program. Confined to the start-up thread. */
interface Command {

  /** The exit code of a command that did what it was asked. */
  int OK = 0;

  /** The exit code of a command that was refused or failed. */
  int FAILED = 1;

  /** The exit code for a wrong command line or wrong settings. */
  int USAGE = 2;

  /**
   * Does what the command is for.
   *
   * @return the exit code of the process
   * @throws SettingException if a setting is wrong
   */
  int run() throws SettingException, InterruptedException;
}
