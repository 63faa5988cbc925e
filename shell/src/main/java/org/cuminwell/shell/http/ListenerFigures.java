package org.cuminwell.shell.http;

/**
 * Holds the figures of a listener. Immutable and thread safe.
 *
 * @param accepted the number of connections accepted since the start
 * @param open the number of connections that are open
 * @param shed the number of connections closed unread since the start because they would have
 *     waited too long
 * @param dropped the number of requests dropped since the start because their callers had left
 */
public record ListenerFigures(long accepted, int open, long shed, long dropped) {}
