/** Memory that the processes of one dispatcher share while one replaces the other. */
package junipercourse.handover;
