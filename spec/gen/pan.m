#define rand	pan_rand
#define pthread_equal(a,b)	((a)==(b))
#if defined(HAS_CODE) && defined(VERBOSE)
	#ifdef BFS_PAR
		bfs_printf("Pr: %d Tr: %d\n", II, t->forw);
	#else
		cpu_printf("Pr: %d Tr: %d\n", II, t->forw);
	#endif
#endif
	switch (t->forw) {
	default: Uerror("bad forward move");
	case 0:	/* if without executable clauses */
		continue;
	case 1: /* generic 'goto' or 'skip' */
		IfNotBlocked
		_m = 3; goto P999;
	case 2: /* generic 'else' */
		IfNotBlocked
		if (trpt->o_pm&1) continue;
		_m = 3; goto P999;

		 /* PROC :init: */
	case 3: // STATE 1 - ../oplog.pml:359 - [ver = 1] (0:0:1 - 1)
		IfNotBlocked
		reached[3][1] = 1;
		(trpt+1)->bup.oval = ((int)now.ver);
		now.ver = 1;
#ifdef VAR_RANGES
		logval("ver", ((int)now.ver));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 4: // STATE 2 - ../oplog.pml:360 - [(run Writer(0))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][2] = 1;
		if (!(addproc(II, 1, 1, 0, 0)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 5: // STATE 3 - ../oplog.pml:361 - [(run Writer(1))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][3] = 1;
		if (!(addproc(II, 1, 1, 1, 0)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 6: // STATE 4 - ../oplog.pml:362 - [(run Request(0,2))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][4] = 1;
		if (!(addproc(II, 1, 2, 0, 2)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 7: // STATE 5 - ../oplog.pml:363 - [(run Request(1,1))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][5] = 1;
		if (!(addproc(II, 1, 2, 1, 1)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 8: // STATE 7 - ../oplog.pml:365 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[3][7] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC Request */
	case 9: // STATE 1 - ../oplog.pml:301 - [((tries<limit))] (0:0:0 - 1)
		IfNotBlocked
		reached[2][1] = 1;
		if (!((((int)((P2 *)_this)->tries)<((int)((P2 *)_this)->limit))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 10: // STATE 2 - ../oplog.pml:304 - [i = 0] (0:52:2 - 1)
		IfNotBlocked
		reached[2][2] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P2 *)_this)->i);
		((P2 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("Request:i", ((int)((P2 *)_this)->i));
#endif
		;
		/* merge: .(goto)(52, 5, 52) */
		reached[2][5] = 1;
		;
		/* merge: want[i] = 1(52, 6, 52) */
		reached[2][6] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.want[ Index(((int)((P2 *)_this)->i), 2) ]);
		now.want[ Index(((P2 *)_this)->i, 2) ] = 1;
#ifdef VAR_RANGES
		logval("want[Request:i]", ((int)now.want[ Index(((int)((P2 *)_this)->i), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 11: // STATE 5 - ../oplog.pml:307 - [.(goto)] (0:52:1 - 2)
		IfNotBlocked
		reached[2][5] = 1;
		;
		/* merge: want[i] = 1(52, 6, 52) */
		reached[2][6] = 1;
		(trpt+1)->bup.oval = ((int)now.want[ Index(((int)((P2 *)_this)->i), 2) ]);
		now.want[ Index(((P2 *)_this)->i, 2) ] = 1;
#ifdef VAR_RANGES
		logval("want[Request:i]", ((int)now.want[ Index(((int)((P2 *)_this)->i), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 12: // STATE 3 - ../oplog.pml:305 - [i = 1] (0:52:2 - 1)
		IfNotBlocked
		reached[2][3] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P2 *)_this)->i);
		((P2 *)_this)->i = 1;
#ifdef VAR_RANGES
		logval("Request:i", ((int)((P2 *)_this)->i));
#endif
		;
		/* merge: .(goto)(52, 5, 52) */
		reached[2][5] = 1;
		;
		/* merge: want[i] = 1(52, 6, 52) */
		reached[2][6] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.want[ Index(((int)((P2 *)_this)->i), 2) ]);
		now.want[ Index(((P2 *)_this)->i, 2) ] = 1;
#ifdef VAR_RANGES
		logval("want[Request:i]", ((int)now.want[ Index(((int)((P2 *)_this)->i), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 13: // STATE 8 - ../oplog.pml:310 - [(owned[i])] (15:0:1 - 1)
		IfNotBlocked
		reached[2][8] = 1;
		if (!(((int)now.owned[ Index(((int)((P2 *)_this)->i), 2) ])))
			continue;
		/* merge: t = wterm[i](0, 9, 15) */
		reached[2][9] = 1;
		(trpt+1)->bup.oval = ((int)((P2 *)_this)->t);
		((P2 *)_this)->t = ((int)now.wterm[ Index(((int)((P2 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("Request:t", ((int)((P2 *)_this)->t));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 14: // STATE 11 - ../oplog.pml:312 - [a = (((r*2)+tries)+1)] (0:14:3 - 1)
		IfNotBlocked
		reached[2][11] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P2 *)_this)->a);
		((P2 *)_this)->a = (((((int)((P2 *)_this)->r)*2)+((int)((P2 *)_this)->tries))+1);
#ifdef VAR_RANGES
		logval("Request:a", ((int)((P2 *)_this)->a));
#endif
		;
		/* merge: tries = (tries+1)(14, 12, 14) */
		reached[2][12] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P2 *)_this)->tries);
		((P2 *)_this)->tries = (((int)((P2 *)_this)->tries)+1);
#ifdef VAR_RANGES
		logval("Request:tries", ((int)((P2 *)_this)->tries));
#endif
		;
		/* merge: cur[r] = a(14, 13, 14) */
		reached[2][13] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cur[ Index(((int)((P2 *)_this)->r), 2) ]);
		now.cur[ Index(((P2 *)_this)->r, 2) ] = ((int)((P2 *)_this)->a);
#ifdef VAR_RANGES
		logval("cur[Request:r]", ((int)now.cur[ Index(((int)((P2 *)_this)->r), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 15: // STATE 14 - ../oplog.pml:315 - [sub[i]!r,a,t] (0:0:0 - 1)
		IfNotBlocked
		reached[2][14] = 1;
		if (q_full(now.sub[ Index(((int)((P2 *)_this)->i), 2) ]))
			continue;
#ifdef HAS_CODE
		if (readtrail && gui) {
			char simtmp[64];
			sprintf(simvals, "%d!", now.sub[ Index(((int)((P2 *)_this)->i), 2) ]);
		sprintf(simtmp, "%d", ((int)((P2 *)_this)->r)); strcat(simvals, simtmp);		strcat(simvals, ",");
		sprintf(simtmp, "%d", ((int)((P2 *)_this)->a)); strcat(simvals, simtmp);		strcat(simvals, ",");
		sprintf(simtmp, "%d", ((int)((P2 *)_this)->t)); strcat(simvals, simtmp);		}
#endif
		
		qsend(now.sub[ Index(((int)((P2 *)_this)->i), 2) ], 0, ((int)((P2 *)_this)->r), ((int)((P2 *)_this)->a), ((int)((P2 *)_this)->t), 3);
		_m = 2; goto P999; /* 0 */
	case 16: // STATE 16 - ../oplog.pml:319 - [((got[r]!=0))] (45:0:7 - 1)
		IfNotBlocked
		reached[2][16] = 1;
		if (!((((int)now.got[ Index(((int)((P2 *)_this)->r), 2) ])!=0)))
			continue;
		/* merge: v = got[r](45, 17, 45) */
		reached[2][17] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)((P2 *)_this)->v);
		((P2 *)_this)->v = ((int)now.got[ Index(((int)((P2 *)_this)->r), 2) ]);
#ifdef VAR_RANGES
		logval("Request:v", ((int)((P2 *)_this)->v));
#endif
		;
		/* merge: vt = gotTerm[r](45, 18, 45) */
		reached[2][18] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P2 *)_this)->vt);
		((P2 *)_this)->vt = ((int)now.gotTerm[ Index(((int)((P2 *)_this)->r), 2) ]);
#ifdef VAR_RANGES
		logval("Request:vt", ((int)((P2 *)_this)->vt));
#endif
		;
		/* merge: .(goto)(45, 22, 45) */
		reached[2][22] = 1;
		;
		/* merge: cur[r] = 0(45, 23, 45) */
		reached[2][23] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cur[ Index(((int)((P2 *)_this)->r), 2) ]);
		now.cur[ Index(((P2 *)_this)->r, 2) ] = 0;
#ifdef VAR_RANGES
		logval("cur[Request:r]", ((int)now.cur[ Index(((int)((P2 *)_this)->r), 2) ]));
#endif
		;
		/* merge: got[r] = 0(45, 24, 45) */
		reached[2][24] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.got[ Index(((int)((P2 *)_this)->r), 2) ]);
		now.got[ Index(((P2 *)_this)->r, 2) ] = 0;
#ifdef VAR_RANGES
		logval("got[Request:r]", ((int)now.got[ Index(((int)((P2 *)_this)->r), 2) ]));
#endif
		;
		/* merge: gotTerm[r] = 0(45, 25, 45) */
		reached[2][25] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.gotTerm[ Index(((int)((P2 *)_this)->r), 2) ]);
		now.gotTerm[ Index(((P2 *)_this)->r, 2) ] = 0;
#ifdef VAR_RANGES
		logval("gotTerm[Request:r]", ((int)now.gotTerm[ Index(((int)((P2 *)_this)->r), 2) ]));
#endif
		;
		/* merge: a = 0(45, 26, 45) */
		reached[2][26] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P2 *)_this)->a);
		((P2 *)_this)->a = 0;
#ifdef VAR_RANGES
		logval("Request:a", ((int)((P2 *)_this)->a));
#endif
		;
		/* merge: i = 0(45, 27, 45) */
		reached[2][27] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P2 *)_this)->i);
		((P2 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("Request:i", ((int)((P2 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 8 */
	case 17: // STATE 19 - ../oplog.pml:320 - [v = 0] (0:45:7 - 1)
		IfNotBlocked
		reached[2][19] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)((P2 *)_this)->v);
		((P2 *)_this)->v = 0;
#ifdef VAR_RANGES
		logval("Request:v", ((int)((P2 *)_this)->v));
#endif
		;
		/* merge: vt = 0(45, 20, 45) */
		reached[2][20] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P2 *)_this)->vt);
		((P2 *)_this)->vt = 0;
#ifdef VAR_RANGES
		logval("Request:vt", ((int)((P2 *)_this)->vt));
#endif
		;
		/* merge: .(goto)(45, 22, 45) */
		reached[2][22] = 1;
		;
		/* merge: cur[r] = 0(45, 23, 45) */
		reached[2][23] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cur[ Index(((int)((P2 *)_this)->r), 2) ]);
		now.cur[ Index(((P2 *)_this)->r, 2) ] = 0;
#ifdef VAR_RANGES
		logval("cur[Request:r]", ((int)now.cur[ Index(((int)((P2 *)_this)->r), 2) ]));
#endif
		;
		/* merge: got[r] = 0(45, 24, 45) */
		reached[2][24] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.got[ Index(((int)((P2 *)_this)->r), 2) ]);
		now.got[ Index(((P2 *)_this)->r, 2) ] = 0;
#ifdef VAR_RANGES
		logval("got[Request:r]", ((int)now.got[ Index(((int)((P2 *)_this)->r), 2) ]));
#endif
		;
		/* merge: gotTerm[r] = 0(45, 25, 45) */
		reached[2][25] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.gotTerm[ Index(((int)((P2 *)_this)->r), 2) ]);
		now.gotTerm[ Index(((P2 *)_this)->r, 2) ] = 0;
#ifdef VAR_RANGES
		logval("gotTerm[Request:r]", ((int)now.gotTerm[ Index(((int)((P2 *)_this)->r), 2) ]));
#endif
		;
		/* merge: a = 0(45, 26, 45) */
		reached[2][26] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P2 *)_this)->a);
		((P2 *)_this)->a = 0;
#ifdef VAR_RANGES
		logval("Request:a", ((int)((P2 *)_this)->a));
#endif
		;
		/* merge: i = 0(45, 27, 45) */
		reached[2][27] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P2 *)_this)->i);
		((P2 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("Request:i", ((int)((P2 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 7 */
	case 18: // STATE 23 - ../oplog.pml:322 - [cur[r] = 0] (0:45:5 - 3)
		IfNotBlocked
		reached[2][23] = 1;
		(trpt+1)->bup.ovals = grab_ints(5);
		(trpt+1)->bup.ovals[0] = ((int)now.cur[ Index(((int)((P2 *)_this)->r), 2) ]);
		now.cur[ Index(((P2 *)_this)->r, 2) ] = 0;
#ifdef VAR_RANGES
		logval("cur[Request:r]", ((int)now.cur[ Index(((int)((P2 *)_this)->r), 2) ]));
#endif
		;
		/* merge: got[r] = 0(45, 24, 45) */
		reached[2][24] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.got[ Index(((int)((P2 *)_this)->r), 2) ]);
		now.got[ Index(((P2 *)_this)->r, 2) ] = 0;
#ifdef VAR_RANGES
		logval("got[Request:r]", ((int)now.got[ Index(((int)((P2 *)_this)->r), 2) ]));
#endif
		;
		/* merge: gotTerm[r] = 0(45, 25, 45) */
		reached[2][25] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.gotTerm[ Index(((int)((P2 *)_this)->r), 2) ]);
		now.gotTerm[ Index(((P2 *)_this)->r, 2) ] = 0;
#ifdef VAR_RANGES
		logval("gotTerm[Request:r]", ((int)now.gotTerm[ Index(((int)((P2 *)_this)->r), 2) ]));
#endif
		;
		/* merge: a = 0(45, 26, 45) */
		reached[2][26] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P2 *)_this)->a);
		((P2 *)_this)->a = 0;
#ifdef VAR_RANGES
		logval("Request:a", ((int)((P2 *)_this)->a));
#endif
		;
		/* merge: i = 0(45, 27, 45) */
		reached[2][27] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P2 *)_this)->i);
		((P2 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("Request:i", ((int)((P2 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 4 */
	case 19: // STATE 29 - ../oplog.pml:325 - [(((v==1)||(v==3)))] (0:0:1 - 1)
		IfNotBlocked
		reached[2][29] = 1;
		if (!(((((int)((P2 *)_this)->v)==1)||(((int)((P2 *)_this)->v)==3))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 20: // STATE 31 - ../oplog.pml:326 - [(((v==2)&&((open<vt)||{c_code13})))] (0:0:3 - 1)
		IfNotBlocked
		reached[2][31] = 1;
		if (!(((((int)((P2 *)_this)->v)==2)&&((((int)((P2 *)_this)->open)<((int)((P2 *)_this)->vt))||( VARIANT == 5 )))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 21: // STATE 32 - ../oplog.pml:328 - [assert(!(ranFor[r]))] (0:66:1 - 1)
		IfNotBlocked
		reached[2][32] = 1;
		spin_assert( !(((int)now.ranFor[ Index(((int)((P2 *)_this)->r), 2) ])), " !(ranFor[r])", II, tt, t);
		/* merge: toldNo[r] = 1(66, 33, 66) */
		reached[2][33] = 1;
		(trpt+1)->bup.oval = ((int)now.toldNo[ Index(((int)((P2 *)_this)->r), 2) ]);
		now.toldNo[ Index(((P2 *)_this)->r, 2) ] = 1;
#ifdef VAR_RANGES
		logval("toldNo[Request:r]", ((int)now.toldNo[ Index(((int)((P2 *)_this)->r), 2) ]));
#endif
		;
		/* merge: goto :b2(0, 35, 66) */
		reached[2][35] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 22: // STATE 36 - ../oplog.pml:332 - [(((v==2)&&!(((open<vt)||{c_code14}))))] (0:0:3 - 1)
		IfNotBlocked
		reached[2][36] = 1;
		if (!(((((int)((P2 *)_this)->v)==2)&& !(((((int)((P2 *)_this)->open)<((int)((P2 *)_this)->vt))||( VARIANT == 5 ))))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 23: // STATE 38 - ../oplog.pml:333 - [((v==4))] (63:0:4 - 1)
		IfNotBlocked
		reached[2][38] = 1;
		if (!((((int)((P2 *)_this)->v)==4)))
			continue;
		/* merge: .(goto)(63, 46, 63) */
		reached[2][46] = 1;
		;
		/* merge: t = 0(63, 47, 63) */
		reached[2][47] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)((P2 *)_this)->t);
		((P2 *)_this)->t = 0;
#ifdef VAR_RANGES
		logval("Request:t", ((int)((P2 *)_this)->t));
#endif
		;
		/* merge: v = 0(63, 48, 63) */
		reached[2][48] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P2 *)_this)->v);
		((P2 *)_this)->v = 0;
#ifdef VAR_RANGES
		logval("Request:v", ((int)((P2 *)_this)->v));
#endif
		;
		/* merge: vt = 0(63, 49, 63) */
		reached[2][49] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P2 *)_this)->vt);
		((P2 *)_this)->vt = 0;
#ifdef VAR_RANGES
		logval("Request:vt", ((int)((P2 *)_this)->vt));
#endif
		;
		/* merge: .(goto)(0, 53, 63) */
		reached[2][53] = 1;
		;
		/* merge: .(goto)(0, 64, 63) */
		reached[2][64] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 24: // STATE 39 - ../oplog.pml:334 - [(((v==0)||(v==5)))] (0:0:1 - 1)
		IfNotBlocked
		reached[2][39] = 1;
		if (!(((((int)((P2 *)_this)->v)==0)||(((int)((P2 *)_this)->v)==5))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 25: // STATE 40 - ../oplog.pml:336 - [((t>open))] (63:0:5 - 1)
		IfNotBlocked
		reached[2][40] = 1;
		if (!((((int)((P2 *)_this)->t)>((int)((P2 *)_this)->open))))
			continue;
		/* merge: open = t(63, 41, 63) */
		reached[2][41] = 1;
		(trpt+1)->bup.ovals = grab_ints(5);
		(trpt+1)->bup.ovals[0] = ((int)((P2 *)_this)->open);
		((P2 *)_this)->open = ((int)((P2 *)_this)->t);
#ifdef VAR_RANGES
		logval("Request:open", ((int)((P2 *)_this)->open));
#endif
		;
		/* merge: .(goto)(63, 44, 63) */
		reached[2][44] = 1;
		;
		/* merge: .(goto)(63, 46, 63) */
		reached[2][46] = 1;
		;
		/* merge: t = 0(63, 47, 63) */
		reached[2][47] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P2 *)_this)->t);
		((P2 *)_this)->t = 0;
#ifdef VAR_RANGES
		logval("Request:t", ((int)((P2 *)_this)->t));
#endif
		;
		/* merge: v = 0(63, 48, 63) */
		reached[2][48] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P2 *)_this)->v);
		((P2 *)_this)->v = 0;
#ifdef VAR_RANGES
		logval("Request:v", ((int)((P2 *)_this)->v));
#endif
		;
		/* merge: vt = 0(63, 49, 63) */
		reached[2][49] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P2 *)_this)->vt);
		((P2 *)_this)->vt = 0;
#ifdef VAR_RANGES
		logval("Request:vt", ((int)((P2 *)_this)->vt));
#endif
		;
		/* merge: .(goto)(0, 53, 63) */
		reached[2][53] = 1;
		;
		/* merge: .(goto)(0, 64, 63) */
		reached[2][64] = 1;
		;
		_m = 3; goto P999; /* 8 */
	case 26: // STATE 47 - ../oplog.pml:340 - [t = 0] (0:63:3 - 5)
		IfNotBlocked
		reached[2][47] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P2 *)_this)->t);
		((P2 *)_this)->t = 0;
#ifdef VAR_RANGES
		logval("Request:t", ((int)((P2 *)_this)->t));
#endif
		;
		/* merge: v = 0(63, 48, 63) */
		reached[2][48] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P2 *)_this)->v);
		((P2 *)_this)->v = 0;
#ifdef VAR_RANGES
		logval("Request:v", ((int)((P2 *)_this)->v));
#endif
		;
		/* merge: vt = 0(63, 49, 63) */
		reached[2][49] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P2 *)_this)->vt);
		((P2 *)_this)->vt = 0;
#ifdef VAR_RANGES
		logval("Request:vt", ((int)((P2 *)_this)->vt));
#endif
		;
		/* merge: .(goto)(0, 53, 63) */
		reached[2][53] = 1;
		;
		/* merge: .(goto)(0, 64, 63) */
		reached[2][64] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 27: // STATE 50 - ../oplog.pml:341 - [(1)] (63:0:1 - 1)
		IfNotBlocked
		reached[2][50] = 1;
		if (!(1))
			continue;
		/* merge: tries = (tries+1)(0, 51, 63) */
		reached[2][51] = 1;
		(trpt+1)->bup.oval = ((int)((P2 *)_this)->tries);
		((P2 *)_this)->tries = (((int)((P2 *)_this)->tries)+1);
#ifdef VAR_RANGES
		logval("Request:tries", ((int)((P2 *)_this)->tries));
#endif
		;
		/* merge: .(goto)(0, 53, 63) */
		reached[2][53] = 1;
		;
		/* merge: .(goto)(0, 64, 63) */
		reached[2][64] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 28: // STATE 55 - ../oplog.pml:346 - [((open==0))] (0:0:1 - 1)
		IfNotBlocked
		reached[2][55] = 1;
		if (!((((int)((P2 *)_this)->open)==0)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 29: // STATE 56 - ../oplog.pml:348 - [assert(!(ranFor[r]))] (0:66:1 - 1)
		IfNotBlocked
		reached[2][56] = 1;
		spin_assert( !(((int)now.ranFor[ Index(((int)((P2 *)_this)->r), 2) ])), " !(ranFor[r])", II, tt, t);
		/* merge: toldNo[r] = 1(66, 57, 66) */
		reached[2][57] = 1;
		(trpt+1)->bup.oval = ((int)now.toldNo[ Index(((int)((P2 *)_this)->r), 2) ]);
		now.toldNo[ Index(((P2 *)_this)->r, 2) ] = 1;
#ifdef VAR_RANGES
		logval("toldNo[Request:r]", ((int)now.toldNo[ Index(((int)((P2 *)_this)->r), 2) ]));
#endif
		;
		/* merge: .(goto)(0, 61, 66) */
		reached[2][61] = 1;
		;
		/* merge: goto :b2(0, 62, 66) */
		reached[2][62] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 30: // STATE 66 - ../oplog.pml:355 - [-end-] (0:0:0 - 11)
		IfNotBlocked
		reached[2][66] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC Writer */
	case 31: // STATE 1 - ../oplog.pml:213 - [(((((want[i]&&!(owned[i]))&&!(writing))&&(page.term<3))&&!(net[(2*i)].busy)))] (89:0:7 - 1)
		IfNotBlocked
		reached[1][1] = 1;
		if (!(((((((int)now.want[ Index(((int)((P1 *)_this)->i), 2) ])&& !(((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ])))&& !(((int)((P1 *)_this)->writing)))&&(((int)now.page.term)<3))&& !(((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].busy)))))
			continue;
		/* merge: wver = ver(89, 2, 89) */
		reached[1][2] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->wver);
		((P1 *)_this)->wver = ((int)now.ver);
#ifdef VAR_RANGES
		logval("Writer:wver", ((int)((P1 *)_this)->wver));
#endif
		;
		/* merge: st = page.st(89, 3, 89) */
		reached[1][3] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->st);
		((P1 *)_this)->st = ((int)now.page.st);
#ifdef VAR_RANGES
		logval("Writer:st", ((int)((P1 *)_this)->st));
#endif
		;
		/* merge: att = page.att(89, 4, 89) */
		reached[1][4] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->att);
		((P1 *)_this)->att = ((int)now.page.att);
#ifdef VAR_RANGES
		logval("Writer:att", ((int)((P1 *)_this)->att));
#endif
		;
		/* merge: rterm = page.rterm(89, 5, 89) */
		reached[1][5] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->rterm);
		((P1 *)_this)->rterm = ((int)now.page.rterm);
#ifdef VAR_RANGES
		logval("Writer:rterm", ((int)((P1 *)_this)->rterm));
#endif
		;
		/* merge: cancelled = 0(89, 6, 89) */
		reached[1][6] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->cancelled);
		((P1 *)_this)->cancelled = 0;
#ifdef VAR_RANGES
		logval("Writer:cancelled", ((int)((P1 *)_this)->cancelled));
#endif
		;
		/* merge: disp = 0(89, 7, 89) */
		reached[1][7] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->disp);
		((P1 *)_this)->disp = 0;
#ifdef VAR_RANGES
		logval("Writer:disp", ((int)((P1 *)_this)->disp));
#endif
		;
		/* merge: ready = 0(89, 8, 89) */
		reached[1][8] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P1 *)_this)->ready);
		((P1 *)_this)->ready = 0;
#ifdef VAR_RANGES
		logval("Writer:ready", ((int)((P1 *)_this)->ready));
#endif
		;
		_m = 3; goto P999; /* 7 */
	case 32: // STATE 9 - ../oplog.pml:222 - [({c_code1})] (485:0:2 - 1)
		IfNotBlocked
		reached[1][9] = 1;
		if (!(( VARIANT == 3 )))
			continue;
		/* merge: owned[i] = 1(485, 10, 485) */
		reached[1][10] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.owned[ Index(((P1 *)_this)->i, 2) ] = 1;
#ifdef VAR_RANGES
		logval("owned[Writer:i]", ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: wterm[i] = (page.term+1)(485, 11, 485) */
		reached[1][11] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.wterm[ Index(((P1 *)_this)->i, 2) ] = (((int)now.page.term)+1);
#ifdef VAR_RANGES
		logval("wterm[Writer:i]", ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: .(goto)(485, 90, 485) */
		reached[1][90] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 33: // STATE 90 - ../oplog.pml:226 - [.(goto)] (0:485:0 - 3)
		IfNotBlocked
		reached[1][90] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 34: // STATE 12 - ../oplog.pml:223 - [({c_code2})] (50:0:2 - 1)
		IfNotBlocked
		reached[1][12] = 1;
		if (!(( VARIANT == 4 )))
			continue;
		/* merge: owned[i] = 1(50, 13, 50) */
		reached[1][13] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.owned[ Index(((P1 *)_this)->i, 2) ] = 1;
#ifdef VAR_RANGES
		logval("owned[Writer:i]", ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: wterm[i] = (page.term+1)(50, 14, 50) */
		reached[1][14] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.wterm[ Index(((P1 *)_this)->i, 2) ] = (((int)now.page.term)+1);
#ifdef VAR_RANGES
		logval("wterm[Writer:i]", ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 35: // STATE 15 - ../oplog.pml:123 - [wtok = (((2*wver)+i)+1)] (0:25:5 - 1)
		IfNotBlocked
		reached[1][15] = 1;
		(trpt+1)->bup.ovals = grab_ints(5);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->wtok);
		((P1 *)_this)->wtok = (((2*((int)((P1 *)_this)->wver))+((int)((P1 *)_this)->i))+1);
#ifdef VAR_RANGES
		logval("Writer:wtok", ((int)((P1 *)_this)->wtok));
#endif
		;
		/* merge: uterm = (page.term+1)(25, 16, 25) */
		reached[1][16] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = (((int)now.page.term)+1);
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = st(25, 17, 25) */
		reached[1][17] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = ((int)((P1 *)_this)->st);
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = att(25, 18, 25) */
		reached[1][18] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = ((int)((P1 *)_this)->att);
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = rterm(25, 19, 25) */
		reached[1][19] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = ((int)((P1 *)_this)->rterm);
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		_m = 3; goto P999; /* 4 */
	case 36: // STATE 20 - ../oplog.pml:129 - [(cancelled)] (48:0:6 - 1)
		IfNotBlocked
		reached[1][20] = 1;
		if (!(((int)((P1 *)_this)->cancelled)))
			continue;
		/* merge: ust = 0(48, 21, 48) */
		reached[1][21] = 1;
		(trpt+1)->bup.ovals = grab_ints(6);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(48, 22, 48) */
		reached[1][22] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(48, 23, 48) */
		reached[1][23] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(48, 26, 48) */
		reached[1][26] = 1;
		;
		/* merge: ans[i] = 0(48, 27, 48) */
		reached[1][27] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.ans[ Index(((P1 *)_this)->i, 2) ] = 0;
#ifdef VAR_RANGES
		logval("ans[Writer:i]", ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: writing = 1(48, 28, 48) */
		reached[1][28] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->writing);
		((P1 *)_this)->writing = 1;
#ifdef VAR_RANGES
		logval("Writer:writing", ((int)((P1 *)_this)->writing));
#endif
		;
		/* merge: dirty = 0(48, 29, 48) */
		reached[1][29] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = 0;
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		_m = 3; goto P999; /* 7 */
	case 37: // STATE 27 - ../oplog.pml:132 - [ans[i] = 0] (0:48:3 - 3)
		IfNotBlocked
		reached[1][27] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.ans[ Index(((P1 *)_this)->i, 2) ] = 0;
#ifdef VAR_RANGES
		logval("ans[Writer:i]", ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: writing = 1(48, 28, 48) */
		reached[1][28] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->writing);
		((P1 *)_this)->writing = 1;
#ifdef VAR_RANGES
		logval("Writer:writing", ((int)((P1 *)_this)->writing));
#endif
		;
		/* merge: dirty = 0(48, 29, 48) */
		reached[1][29] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = 0;
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 38: // STATE 30 - ../oplog.pml:136 - [(!(net[(2*i)].busy))] (0:0:0 - 1)
		IfNotBlocked
		reached[1][30] = 1;
		if (!( !(((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].busy))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 39: // STATE 31 - ../oplog.pml:112 - [net[(2*i)].busy = 1] (0:485:7 - 1)
		IfNotBlocked
		reached[1][31] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].busy);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].busy = 1;
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].busy", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].busy));
#endif
		;
		/* merge: net[(2*i)].expect = wver(485, 32, 485) */
		reached[1][32] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].expect);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].expect = ((int)((P1 *)_this)->wver);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].expect", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].expect));
#endif
		;
		/* merge: net[(2*i)].p.term = uterm(485, 33, 485) */
		reached[1][33] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.term);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.term = ((int)((P1 *)_this)->uterm);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.term", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.term));
#endif
		;
		/* merge: net[(2*i)].p.tok = wtok(485, 34, 485) */
		reached[1][34] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.tok);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.tok = ((int)((P1 *)_this)->wtok);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.tok", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.tok));
#endif
		;
		/* merge: net[(2*i)].p.st = ust(485, 35, 485) */
		reached[1][35] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.st);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.st = ((int)((P1 *)_this)->ust);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.st", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.st));
#endif
		;
		/* merge: net[(2*i)].p.att = uatt(485, 36, 485) */
		reached[1][36] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.att);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.att = ((int)((P1 *)_this)->uatt);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.att", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.att));
#endif
		;
		/* merge: net[(2*i)].p.rterm = urterm(485, 37, 485) */
		reached[1][37] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.rterm);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.rterm = ((int)((P1 *)_this)->urterm);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.rterm", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.rterm));
#endif
		;
		/* merge: .(goto)(485, 49, 485) */
		reached[1][49] = 1;
		;
		/* merge: .(goto)(485, 90, 485) */
		reached[1][90] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 9 */
	case 40: // STATE 49 - ../oplog.pml:139 - [.(goto)] (0:485:0 - 2)
		IfNotBlocked
		reached[1][49] = 1;
		;
		/* merge: .(goto)(485, 90, 485) */
		reached[1][90] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 41: // STATE 40 - ../oplog.pml:112 - [net[((2*i)+1)].busy = 1] (0:485:7 - 1)
		IfNotBlocked
		reached[1][40] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].busy);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].busy = 1;
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].busy", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].busy));
#endif
		;
		/* merge: net[((2*i)+1)].expect = wver(485, 41, 485) */
		reached[1][41] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].expect);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].expect = ((int)((P1 *)_this)->wver);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].expect", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].expect));
#endif
		;
		/* merge: net[((2*i)+1)].p.term = uterm(485, 42, 485) */
		reached[1][42] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.term);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.term = ((int)((P1 *)_this)->uterm);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.term", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.term));
#endif
		;
		/* merge: net[((2*i)+1)].p.tok = wtok(485, 43, 485) */
		reached[1][43] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.tok);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.tok = ((int)((P1 *)_this)->wtok);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.tok", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.tok));
#endif
		;
		/* merge: net[((2*i)+1)].p.st = ust(485, 44, 485) */
		reached[1][44] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.st);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.st = ((int)((P1 *)_this)->ust);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.st", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.st));
#endif
		;
		/* merge: net[((2*i)+1)].p.att = uatt(485, 45, 485) */
		reached[1][45] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.att);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.att = ((int)((P1 *)_this)->uatt);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.att", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.att));
#endif
		;
		/* merge: net[((2*i)+1)].p.rterm = urterm(485, 46, 485) */
		reached[1][46] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.rterm);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.rterm = ((int)((P1 *)_this)->urterm);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.rterm", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.rterm));
#endif
		;
		/* merge: .(goto)(485, 49, 485) */
		reached[1][49] = 1;
		;
		/* merge: .(goto)(485, 90, 485) */
		reached[1][90] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 9 */
	case 42: // STATE 52 - ../oplog.pml:224 - [taking = 1] (0:0:1 - 1)
		IfNotBlocked
		reached[1][52] = 1;
		(trpt+1)->bup.oval = ((int)((P1 *)_this)->taking);
		((P1 *)_this)->taking = 1;
#ifdef VAR_RANGES
		logval("Writer:taking", ((int)((P1 *)_this)->taking));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 43: // STATE 53 - ../oplog.pml:123 - [wtok = (((2*wver)+i)+1)] (0:63:5 - 1)
		IfNotBlocked
		reached[1][53] = 1;
		(trpt+1)->bup.ovals = grab_ints(5);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->wtok);
		((P1 *)_this)->wtok = (((2*((int)((P1 *)_this)->wver))+((int)((P1 *)_this)->i))+1);
#ifdef VAR_RANGES
		logval("Writer:wtok", ((int)((P1 *)_this)->wtok));
#endif
		;
		/* merge: uterm = (page.term+1)(63, 54, 63) */
		reached[1][54] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = (((int)now.page.term)+1);
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = st(63, 55, 63) */
		reached[1][55] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = ((int)((P1 *)_this)->st);
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = att(63, 56, 63) */
		reached[1][56] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = ((int)((P1 *)_this)->att);
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = rterm(63, 57, 63) */
		reached[1][57] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = ((int)((P1 *)_this)->rterm);
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		_m = 3; goto P999; /* 4 */
	case 44: // STATE 58 - ../oplog.pml:129 - [(cancelled)] (86:0:6 - 1)
		IfNotBlocked
		reached[1][58] = 1;
		if (!(((int)((P1 *)_this)->cancelled)))
			continue;
		/* merge: ust = 0(86, 59, 86) */
		reached[1][59] = 1;
		(trpt+1)->bup.ovals = grab_ints(6);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(86, 60, 86) */
		reached[1][60] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(86, 61, 86) */
		reached[1][61] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(86, 64, 86) */
		reached[1][64] = 1;
		;
		/* merge: ans[i] = 0(86, 65, 86) */
		reached[1][65] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.ans[ Index(((P1 *)_this)->i, 2) ] = 0;
#ifdef VAR_RANGES
		logval("ans[Writer:i]", ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: writing = 1(86, 66, 86) */
		reached[1][66] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->writing);
		((P1 *)_this)->writing = 1;
#ifdef VAR_RANGES
		logval("Writer:writing", ((int)((P1 *)_this)->writing));
#endif
		;
		/* merge: dirty = 0(86, 67, 86) */
		reached[1][67] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = 0;
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		_m = 3; goto P999; /* 7 */
	case 45: // STATE 65 - ../oplog.pml:132 - [ans[i] = 0] (0:86:3 - 3)
		IfNotBlocked
		reached[1][65] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.ans[ Index(((P1 *)_this)->i, 2) ] = 0;
#ifdef VAR_RANGES
		logval("ans[Writer:i]", ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: writing = 1(86, 66, 86) */
		reached[1][66] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->writing);
		((P1 *)_this)->writing = 1;
#ifdef VAR_RANGES
		logval("Writer:writing", ((int)((P1 *)_this)->writing));
#endif
		;
		/* merge: dirty = 0(86, 67, 86) */
		reached[1][67] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = 0;
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 46: // STATE 68 - ../oplog.pml:136 - [(!(net[(2*i)].busy))] (0:0:0 - 1)
		IfNotBlocked
		reached[1][68] = 1;
		if (!( !(((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].busy))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 47: // STATE 69 - ../oplog.pml:112 - [net[(2*i)].busy = 1] (0:485:7 - 1)
		IfNotBlocked
		reached[1][69] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].busy);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].busy = 1;
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].busy", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].busy));
#endif
		;
		/* merge: net[(2*i)].expect = wver(485, 70, 485) */
		reached[1][70] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].expect);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].expect = ((int)((P1 *)_this)->wver);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].expect", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].expect));
#endif
		;
		/* merge: net[(2*i)].p.term = uterm(485, 71, 485) */
		reached[1][71] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.term);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.term = ((int)((P1 *)_this)->uterm);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.term", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.term));
#endif
		;
		/* merge: net[(2*i)].p.tok = wtok(485, 72, 485) */
		reached[1][72] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.tok);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.tok = ((int)((P1 *)_this)->wtok);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.tok", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.tok));
#endif
		;
		/* merge: net[(2*i)].p.st = ust(485, 73, 485) */
		reached[1][73] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.st);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.st = ((int)((P1 *)_this)->ust);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.st", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.st));
#endif
		;
		/* merge: net[(2*i)].p.att = uatt(485, 74, 485) */
		reached[1][74] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.att);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.att = ((int)((P1 *)_this)->uatt);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.att", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.att));
#endif
		;
		/* merge: net[(2*i)].p.rterm = urterm(485, 75, 485) */
		reached[1][75] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.rterm);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.rterm = ((int)((P1 *)_this)->urterm);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.rterm", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.rterm));
#endif
		;
		/* merge: .(goto)(485, 87, 485) */
		reached[1][87] = 1;
		;
		/* merge: .(goto)(485, 90, 485) */
		reached[1][90] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 9 */
	case 48: // STATE 87 - ../oplog.pml:139 - [.(goto)] (0:485:0 - 2)
		IfNotBlocked
		reached[1][87] = 1;
		;
		/* merge: .(goto)(485, 90, 485) */
		reached[1][90] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 49: // STATE 78 - ../oplog.pml:112 - [net[((2*i)+1)].busy = 1] (0:485:7 - 1)
		IfNotBlocked
		reached[1][78] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].busy);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].busy = 1;
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].busy", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].busy));
#endif
		;
		/* merge: net[((2*i)+1)].expect = wver(485, 79, 485) */
		reached[1][79] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].expect);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].expect = ((int)((P1 *)_this)->wver);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].expect", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].expect));
#endif
		;
		/* merge: net[((2*i)+1)].p.term = uterm(485, 80, 485) */
		reached[1][80] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.term);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.term = ((int)((P1 *)_this)->uterm);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.term", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.term));
#endif
		;
		/* merge: net[((2*i)+1)].p.tok = wtok(485, 81, 485) */
		reached[1][81] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.tok);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.tok = ((int)((P1 *)_this)->wtok);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.tok", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.tok));
#endif
		;
		/* merge: net[((2*i)+1)].p.st = ust(485, 82, 485) */
		reached[1][82] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.st);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.st = ((int)((P1 *)_this)->ust);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.st", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.st));
#endif
		;
		/* merge: net[((2*i)+1)].p.att = uatt(485, 83, 485) */
		reached[1][83] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.att);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.att = ((int)((P1 *)_this)->uatt);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.att", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.att));
#endif
		;
		/* merge: net[((2*i)+1)].p.rterm = urterm(485, 84, 485) */
		reached[1][84] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.rterm);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.rterm = ((int)((P1 *)_this)->urterm);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.rterm", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.rterm));
#endif
		;
		/* merge: .(goto)(485, 87, 485) */
		reached[1][87] = 1;
		;
		/* merge: .(goto)(485, 90, 485) */
		reached[1][90] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 9 */
	case 50: // STATE 92 - ../oplog.pml:229 - [sub[i]?r,a,t] (0:0:3 - 1)
		reached[1][92] = 1;
		if (q_len(now.sub[ Index(((int)((P1 *)_this)->i), 2) ]) == 0) continue;

		XX=1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->r);
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->a);
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->t);
		;
		((P1 *)_this)->r = qrecv(now.sub[ Index(((int)((P1 *)_this)->i), 2) ], XX-1, 0, 0);
#ifdef VAR_RANGES
		logval("Writer:r", ((int)((P1 *)_this)->r));
#endif
		;
		((P1 *)_this)->a = qrecv(now.sub[ Index(((int)((P1 *)_this)->i), 2) ], XX-1, 1, 0);
#ifdef VAR_RANGES
		logval("Writer:a", ((int)((P1 *)_this)->a));
#endif
		;
		((P1 *)_this)->t = qrecv(now.sub[ Index(((int)((P1 *)_this)->i), 2) ], XX-1, 2, 1);
#ifdef VAR_RANGES
		logval("Writer:t", ((int)((P1 *)_this)->t));
#endif
		;
		
#ifdef HAS_CODE
		if (readtrail && gui) {
			char simtmp[32];
			sprintf(simvals, "%d?", now.sub[ Index(((int)((P1 *)_this)->i), 2) ]);
		sprintf(simtmp, "%d", ((int)((P1 *)_this)->r)); strcat(simvals, simtmp);		strcat(simvals, ",");
		sprintf(simtmp, "%d", ((int)((P1 *)_this)->a)); strcat(simvals, simtmp);		strcat(simvals, ",");
		sprintf(simtmp, "%d", ((int)((P1 *)_this)->t)); strcat(simvals, simtmp);		}
#endif
		;
		_m = 4; goto P999; /* 0 */
	case 51: // STATE 93 - ../oplog.pml:231 - [((!(owned[i])||(t!=wterm[i])))] (0:0:1 - 1)
		IfNotBlocked
		reached[1][93] = 1;
		if (!(( !(((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]))||(((int)((P1 *)_this)->t)!=((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ])))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 52: // STATE 94 - ../oplog.pml:144 - [(((cur[r]==a)&&(a!=0)))] (485:0:7 - 1)
		IfNotBlocked
		reached[1][94] = 1;
		if (!(((((int)now.cur[ Index(((int)((P1 *)_this)->r), 2) ])==((int)((P1 *)_this)->a))&&(((int)((P1 *)_this)->a)!=0))))
			continue;
		/* merge: got[r] = 4(485, 95, 485) */
		reached[1][95] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.got[ Index(((int)((P1 *)_this)->r), 2) ]);
		now.got[ Index(((P1 *)_this)->r, 2) ] = 4;
#ifdef VAR_RANGES
		logval("got[Writer:r]", ((int)now.got[ Index(((int)((P1 *)_this)->r), 2) ]));
#endif
		;
		/* merge: gotTerm[r] = 0(485, 96, 485) */
		reached[1][96] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.gotTerm[ Index(((int)((P1 *)_this)->r), 2) ]);
		now.gotTerm[ Index(((P1 *)_this)->r, 2) ] = 0;
#ifdef VAR_RANGES
		logval("gotTerm[Writer:r]", ((int)now.gotTerm[ Index(((int)((P1 *)_this)->r), 2) ]));
#endif
		;
		/* merge: cur[r] = 0(485, 97, 485) */
		reached[1][97] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cur[ Index(((int)((P1 *)_this)->r), 2) ]);
		now.cur[ Index(((P1 *)_this)->r, 2) ] = 0;
#ifdef VAR_RANGES
		logval("cur[Writer:r]", ((int)now.cur[ Index(((int)((P1 *)_this)->r), 2) ]));
#endif
		;
		/* merge: .(goto)(485, 100, 485) */
		reached[1][100] = 1;
		;
		/* merge: .(goto)(485, 141, 485) */
		reached[1][141] = 1;
		;
		/* merge: r = 0(485, 142, 485) */
		reached[1][142] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->r);
		((P1 *)_this)->r = 0;
#ifdef VAR_RANGES
		logval("Writer:r", ((int)((P1 *)_this)->r));
#endif
		;
		/* merge: a = 0(485, 143, 485) */
		reached[1][143] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->a);
		((P1 *)_this)->a = 0;
#ifdef VAR_RANGES
		logval("Writer:a", ((int)((P1 *)_this)->a));
#endif
		;
		/* merge: t = 0(485, 144, 485) */
		reached[1][144] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->t);
		((P1 *)_this)->t = 0;
#ifdef VAR_RANGES
		logval("Writer:t", ((int)((P1 *)_this)->t));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 9 */
	case 53: // STATE 103 - ../oplog.pml:234 - [((st==0))] (485:0:9 - 1)
		IfNotBlocked
		reached[1][103] = 1;
		if (!((((int)((P1 *)_this)->st)==0)))
			continue;
		/* merge: st = 1(485, 104, 485) */
		reached[1][104] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->st);
		((P1 *)_this)->st = 1;
#ifdef VAR_RANGES
		logval("Writer:st", ((int)((P1 *)_this)->st));
#endif
		;
		/* merge: att = a(485, 105, 485) */
		reached[1][105] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->att);
		((P1 *)_this)->att = ((int)((P1 *)_this)->a);
#ifdef VAR_RANGES
		logval("Writer:att", ((int)((P1 *)_this)->att));
#endif
		;
		/* merge: rterm = wterm[i](485, 106, 485) */
		reached[1][106] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->rterm);
		((P1 *)_this)->rterm = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("Writer:rterm", ((int)((P1 *)_this)->rterm));
#endif
		;
		/* merge: waiting[r] = a(485, 107, 485) */
		reached[1][107] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->waiting[ Index(((int)((P1 *)_this)->r), 2) ]);
		((P1 *)_this)->waiting[ Index(((P1 *)_this)->r, 2) ] = ((int)((P1 *)_this)->a);
#ifdef VAR_RANGES
		logval("Writer:waiting[Writer:r]", ((int)((P1 *)_this)->waiting[ Index(((int)((P1 *)_this)->r), 2) ]));
#endif
		;
		/* merge: dirty = 1(485, 108, 485) */
		reached[1][108] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = 1;
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		/* merge: .(goto)(485, 139, 485) */
		reached[1][139] = 1;
		;
		/* merge: .(goto)(485, 141, 485) */
		reached[1][141] = 1;
		;
		/* merge: r = 0(485, 142, 485) */
		reached[1][142] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->r);
		((P1 *)_this)->r = 0;
#ifdef VAR_RANGES
		logval("Writer:r", ((int)((P1 *)_this)->r));
#endif
		;
		/* merge: a = 0(485, 143, 485) */
		reached[1][143] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P1 *)_this)->a);
		((P1 *)_this)->a = 0;
#ifdef VAR_RANGES
		logval("Writer:a", ((int)((P1 *)_this)->a));
#endif
		;
		/* merge: t = 0(485, 144, 485) */
		reached[1][144] = 1;
		(trpt+1)->bup.ovals[7] = ((int)((P1 *)_this)->t);
		((P1 *)_this)->t = 0;
#ifdef VAR_RANGES
		logval("Writer:t", ((int)((P1 *)_this)->t));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 11 */
	case 54: // STATE 109 - ../oplog.pml:235 - [((((st==1)&&(rterm==wterm[i]))&&!(cancelled)))] (485:0:4 - 1)
		IfNotBlocked
		reached[1][109] = 1;
		if (!((((((int)((P1 *)_this)->st)==1)&&(((int)((P1 *)_this)->rterm)==((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ])))&& !(((int)((P1 *)_this)->cancelled)))))
			continue;
		/* merge: waiting[r] = a(485, 110, 485) */
		reached[1][110] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->waiting[ Index(((int)((P1 *)_this)->r), 2) ]);
		((P1 *)_this)->waiting[ Index(((P1 *)_this)->r, 2) ] = ((int)((P1 *)_this)->a);
#ifdef VAR_RANGES
		logval("Writer:waiting[Writer:r]", ((int)((P1 *)_this)->waiting[ Index(((int)((P1 *)_this)->r), 2) ]));
#endif
		;
		/* merge: .(goto)(485, 139, 485) */
		reached[1][139] = 1;
		;
		/* merge: .(goto)(485, 141, 485) */
		reached[1][141] = 1;
		;
		/* merge: r = 0(485, 142, 485) */
		reached[1][142] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->r);
		((P1 *)_this)->r = 0;
#ifdef VAR_RANGES
		logval("Writer:r", ((int)((P1 *)_this)->r));
#endif
		;
		/* merge: a = 0(485, 143, 485) */
		reached[1][143] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->a);
		((P1 *)_this)->a = 0;
#ifdef VAR_RANGES
		logval("Writer:a", ((int)((P1 *)_this)->a));
#endif
		;
		/* merge: t = 0(485, 144, 485) */
		reached[1][144] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->t);
		((P1 *)_this)->t = 0;
#ifdef VAR_RANGES
		logval("Writer:t", ((int)((P1 *)_this)->t));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 55: // STATE 111 - ../oplog.pml:236 - [((((st==1)&&(rterm==wterm[i]))&&cancelled))] (0:0:0 - 1)
		IfNotBlocked
		reached[1][111] = 1;
		if (!((((((int)((P1 *)_this)->st)==1)&&(((int)((P1 *)_this)->rterm)==((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ])))&&((int)((P1 *)_this)->cancelled))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 56: // STATE 112 - ../oplog.pml:144 - [(((cur[r]==a)&&(a!=0)))] (485:0:7 - 1)
		IfNotBlocked
		reached[1][112] = 1;
		if (!(((((int)now.cur[ Index(((int)((P1 *)_this)->r), 2) ])==((int)((P1 *)_this)->a))&&(((int)((P1 *)_this)->a)!=0))))
			continue;
		/* merge: got[r] = 2(485, 113, 485) */
		reached[1][113] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.got[ Index(((int)((P1 *)_this)->r), 2) ]);
		now.got[ Index(((P1 *)_this)->r, 2) ] = 2;
#ifdef VAR_RANGES
		logval("got[Writer:r]", ((int)now.got[ Index(((int)((P1 *)_this)->r), 2) ]));
#endif
		;
		/* merge: gotTerm[r] = wterm[i](485, 114, 485) */
		reached[1][114] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.gotTerm[ Index(((int)((P1 *)_this)->r), 2) ]);
		now.gotTerm[ Index(((P1 *)_this)->r, 2) ] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("gotTerm[Writer:r]", ((int)now.gotTerm[ Index(((int)((P1 *)_this)->r), 2) ]));
#endif
		;
		/* merge: cur[r] = 0(485, 115, 485) */
		reached[1][115] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cur[ Index(((int)((P1 *)_this)->r), 2) ]);
		now.cur[ Index(((P1 *)_this)->r, 2) ] = 0;
#ifdef VAR_RANGES
		logval("cur[Writer:r]", ((int)now.cur[ Index(((int)((P1 *)_this)->r), 2) ]));
#endif
		;
		/* merge: .(goto)(485, 118, 485) */
		reached[1][118] = 1;
		;
		/* merge: .(goto)(485, 139, 485) */
		reached[1][139] = 1;
		;
		/* merge: .(goto)(485, 141, 485) */
		reached[1][141] = 1;
		;
		/* merge: r = 0(485, 142, 485) */
		reached[1][142] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->r);
		((P1 *)_this)->r = 0;
#ifdef VAR_RANGES
		logval("Writer:r", ((int)((P1 *)_this)->r));
#endif
		;
		/* merge: a = 0(485, 143, 485) */
		reached[1][143] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->a);
		((P1 *)_this)->a = 0;
#ifdef VAR_RANGES
		logval("Writer:a", ((int)((P1 *)_this)->a));
#endif
		;
		/* merge: t = 0(485, 144, 485) */
		reached[1][144] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->t);
		((P1 *)_this)->t = 0;
#ifdef VAR_RANGES
		logval("Writer:t", ((int)((P1 *)_this)->t));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 57: // STATE 120 - ../oplog.pml:237 - [(((st==1)&&(rterm!=wterm[i])))] (0:0:0 - 1)
		IfNotBlocked
		reached[1][120] = 1;
		if (!(((((int)((P1 *)_this)->st)==1)&&(((int)((P1 *)_this)->rterm)!=((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ])))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 58: // STATE 121 - ../oplog.pml:144 - [(((cur[r]==a)&&(a!=0)))] (485:0:7 - 1)
		IfNotBlocked
		reached[1][121] = 1;
		if (!(((((int)now.cur[ Index(((int)((P1 *)_this)->r), 2) ])==((int)((P1 *)_this)->a))&&(((int)((P1 *)_this)->a)!=0))))
			continue;
		/* merge: got[r] = 3(485, 122, 485) */
		reached[1][122] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.got[ Index(((int)((P1 *)_this)->r), 2) ]);
		now.got[ Index(((P1 *)_this)->r, 2) ] = 3;
#ifdef VAR_RANGES
		logval("got[Writer:r]", ((int)now.got[ Index(((int)((P1 *)_this)->r), 2) ]));
#endif
		;
		/* merge: gotTerm[r] = wterm[i](485, 123, 485) */
		reached[1][123] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.gotTerm[ Index(((int)((P1 *)_this)->r), 2) ]);
		now.gotTerm[ Index(((P1 *)_this)->r, 2) ] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("gotTerm[Writer:r]", ((int)now.gotTerm[ Index(((int)((P1 *)_this)->r), 2) ]));
#endif
		;
		/* merge: cur[r] = 0(485, 124, 485) */
		reached[1][124] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cur[ Index(((int)((P1 *)_this)->r), 2) ]);
		now.cur[ Index(((P1 *)_this)->r, 2) ] = 0;
#ifdef VAR_RANGES
		logval("cur[Writer:r]", ((int)now.cur[ Index(((int)((P1 *)_this)->r), 2) ]));
#endif
		;
		/* merge: .(goto)(485, 127, 485) */
		reached[1][127] = 1;
		;
		/* merge: .(goto)(485, 139, 485) */
		reached[1][139] = 1;
		;
		/* merge: .(goto)(485, 141, 485) */
		reached[1][141] = 1;
		;
		/* merge: r = 0(485, 142, 485) */
		reached[1][142] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->r);
		((P1 *)_this)->r = 0;
#ifdef VAR_RANGES
		logval("Writer:r", ((int)((P1 *)_this)->r));
#endif
		;
		/* merge: a = 0(485, 143, 485) */
		reached[1][143] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->a);
		((P1 *)_this)->a = 0;
#ifdef VAR_RANGES
		logval("Writer:a", ((int)((P1 *)_this)->a));
#endif
		;
		/* merge: t = 0(485, 144, 485) */
		reached[1][144] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->t);
		((P1 *)_this)->t = 0;
#ifdef VAR_RANGES
		logval("Writer:t", ((int)((P1 *)_this)->t));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 59: // STATE 129 - ../oplog.pml:238 - [((st==2))] (0:0:0 - 1)
		IfNotBlocked
		reached[1][129] = 1;
		if (!((((int)((P1 *)_this)->st)==2)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 60: // STATE 130 - ../oplog.pml:144 - [(((cur[r]==a)&&(a!=0)))] (485:0:7 - 1)
		IfNotBlocked
		reached[1][130] = 1;
		if (!(((((int)now.cur[ Index(((int)((P1 *)_this)->r), 2) ])==((int)((P1 *)_this)->a))&&(((int)((P1 *)_this)->a)!=0))))
			continue;
		/* merge: got[r] = 1(485, 131, 485) */
		reached[1][131] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.got[ Index(((int)((P1 *)_this)->r), 2) ]);
		now.got[ Index(((P1 *)_this)->r, 2) ] = 1;
#ifdef VAR_RANGES
		logval("got[Writer:r]", ((int)now.got[ Index(((int)((P1 *)_this)->r), 2) ]));
#endif
		;
		/* merge: gotTerm[r] = wterm[i](485, 132, 485) */
		reached[1][132] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.gotTerm[ Index(((int)((P1 *)_this)->r), 2) ]);
		now.gotTerm[ Index(((P1 *)_this)->r, 2) ] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("gotTerm[Writer:r]", ((int)now.gotTerm[ Index(((int)((P1 *)_this)->r), 2) ]));
#endif
		;
		/* merge: cur[r] = 0(485, 133, 485) */
		reached[1][133] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cur[ Index(((int)((P1 *)_this)->r), 2) ]);
		now.cur[ Index(((P1 *)_this)->r, 2) ] = 0;
#ifdef VAR_RANGES
		logval("cur[Writer:r]", ((int)now.cur[ Index(((int)((P1 *)_this)->r), 2) ]));
#endif
		;
		/* merge: .(goto)(485, 136, 485) */
		reached[1][136] = 1;
		;
		/* merge: .(goto)(485, 139, 485) */
		reached[1][139] = 1;
		;
		/* merge: .(goto)(485, 141, 485) */
		reached[1][141] = 1;
		;
		/* merge: r = 0(485, 142, 485) */
		reached[1][142] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->r);
		((P1 *)_this)->r = 0;
#ifdef VAR_RANGES
		logval("Writer:r", ((int)((P1 *)_this)->r));
#endif
		;
		/* merge: a = 0(485, 143, 485) */
		reached[1][143] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->a);
		((P1 *)_this)->a = 0;
#ifdef VAR_RANGES
		logval("Writer:a", ((int)((P1 *)_this)->a));
#endif
		;
		/* merge: t = 0(485, 144, 485) */
		reached[1][144] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->t);
		((P1 *)_this)->t = 0;
#ifdef VAR_RANGES
		logval("Writer:t", ((int)((P1 *)_this)->t));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 61: // STATE 142 - ../oplog.pml:241 - [r = 0] (0:485:3 - 16)
		IfNotBlocked
		reached[1][142] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->r);
		((P1 *)_this)->r = 0;
#ifdef VAR_RANGES
		logval("Writer:r", ((int)((P1 *)_this)->r));
#endif
		;
		/* merge: a = 0(485, 143, 485) */
		reached[1][143] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->a);
		((P1 *)_this)->a = 0;
#ifdef VAR_RANGES
		logval("Writer:a", ((int)((P1 *)_this)->a));
#endif
		;
		/* merge: t = 0(485, 144, 485) */
		reached[1][144] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->t);
		((P1 *)_this)->t = 0;
#ifdef VAR_RANGES
		logval("Writer:t", ((int)((P1 *)_this)->t));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 62: // STATE 146 - ../oplog.pml:245 - [((((owned[i]&&dirty)&&!(writing))&&!(net[(2*i)].busy)))] (0:0:2 - 1)
		IfNotBlocked
		reached[1][146] = 1;
		if (!((((((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ])&&((int)((P1 *)_this)->dirty))&& !(((int)((P1 *)_this)->writing)))&& !(((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].busy)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 63: // STATE 147 - ../oplog.pml:123 - [wtok = (((2*wver)+i)+1)] (0:157:5 - 1)
		IfNotBlocked
		reached[1][147] = 1;
		(trpt+1)->bup.ovals = grab_ints(5);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->wtok);
		((P1 *)_this)->wtok = (((2*((int)((P1 *)_this)->wver))+((int)((P1 *)_this)->i))+1);
#ifdef VAR_RANGES
		logval("Writer:wtok", ((int)((P1 *)_this)->wtok));
#endif
		;
		/* merge: uterm = wterm[i](157, 148, 157) */
		reached[1][148] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = st(157, 149, 157) */
		reached[1][149] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = ((int)((P1 *)_this)->st);
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = att(157, 150, 157) */
		reached[1][150] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = ((int)((P1 *)_this)->att);
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = rterm(157, 151, 157) */
		reached[1][151] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = ((int)((P1 *)_this)->rterm);
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		_m = 3; goto P999; /* 4 */
	case 64: // STATE 152 - ../oplog.pml:129 - [(cancelled)] (180:0:6 - 1)
		IfNotBlocked
		reached[1][152] = 1;
		if (!(((int)((P1 *)_this)->cancelled)))
			continue;
		/* merge: ust = 0(180, 153, 180) */
		reached[1][153] = 1;
		(trpt+1)->bup.ovals = grab_ints(6);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(180, 154, 180) */
		reached[1][154] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(180, 155, 180) */
		reached[1][155] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(180, 158, 180) */
		reached[1][158] = 1;
		;
		/* merge: ans[i] = 0(180, 159, 180) */
		reached[1][159] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.ans[ Index(((P1 *)_this)->i, 2) ] = 0;
#ifdef VAR_RANGES
		logval("ans[Writer:i]", ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: writing = 1(180, 160, 180) */
		reached[1][160] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->writing);
		((P1 *)_this)->writing = 1;
#ifdef VAR_RANGES
		logval("Writer:writing", ((int)((P1 *)_this)->writing));
#endif
		;
		/* merge: dirty = 0(180, 161, 180) */
		reached[1][161] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = 0;
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		_m = 3; goto P999; /* 7 */
	case 65: // STATE 159 - ../oplog.pml:132 - [ans[i] = 0] (0:180:3 - 3)
		IfNotBlocked
		reached[1][159] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.ans[ Index(((P1 *)_this)->i, 2) ] = 0;
#ifdef VAR_RANGES
		logval("ans[Writer:i]", ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: writing = 1(180, 160, 180) */
		reached[1][160] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->writing);
		((P1 *)_this)->writing = 1;
#ifdef VAR_RANGES
		logval("Writer:writing", ((int)((P1 *)_this)->writing));
#endif
		;
		/* merge: dirty = 0(180, 161, 180) */
		reached[1][161] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = 0;
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 66: // STATE 162 - ../oplog.pml:136 - [(!(net[(2*i)].busy))] (0:0:0 - 1)
		IfNotBlocked
		reached[1][162] = 1;
		if (!( !(((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].busy))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 67: // STATE 163 - ../oplog.pml:112 - [net[(2*i)].busy = 1] (0:485:7 - 1)
		IfNotBlocked
		reached[1][163] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].busy);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].busy = 1;
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].busy", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].busy));
#endif
		;
		/* merge: net[(2*i)].expect = wver(485, 164, 485) */
		reached[1][164] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].expect);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].expect = ((int)((P1 *)_this)->wver);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].expect", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].expect));
#endif
		;
		/* merge: net[(2*i)].p.term = uterm(485, 165, 485) */
		reached[1][165] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.term);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.term = ((int)((P1 *)_this)->uterm);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.term", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.term));
#endif
		;
		/* merge: net[(2*i)].p.tok = wtok(485, 166, 485) */
		reached[1][166] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.tok);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.tok = ((int)((P1 *)_this)->wtok);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.tok", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.tok));
#endif
		;
		/* merge: net[(2*i)].p.st = ust(485, 167, 485) */
		reached[1][167] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.st);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.st = ((int)((P1 *)_this)->ust);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.st", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.st));
#endif
		;
		/* merge: net[(2*i)].p.att = uatt(485, 168, 485) */
		reached[1][168] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.att);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.att = ((int)((P1 *)_this)->uatt);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.att", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.att));
#endif
		;
		/* merge: net[(2*i)].p.rterm = urterm(485, 169, 485) */
		reached[1][169] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.rterm);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.rterm = ((int)((P1 *)_this)->urterm);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.rterm", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.rterm));
#endif
		;
		/* merge: .(goto)(485, 181, 485) */
		reached[1][181] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 8 */
	case 68: // STATE 181 - ../oplog.pml:139 - [.(goto)] (0:485:0 - 2)
		IfNotBlocked
		reached[1][181] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 69: // STATE 172 - ../oplog.pml:112 - [net[((2*i)+1)].busy = 1] (0:485:7 - 1)
		IfNotBlocked
		reached[1][172] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].busy);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].busy = 1;
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].busy", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].busy));
#endif
		;
		/* merge: net[((2*i)+1)].expect = wver(485, 173, 485) */
		reached[1][173] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].expect);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].expect = ((int)((P1 *)_this)->wver);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].expect", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].expect));
#endif
		;
		/* merge: net[((2*i)+1)].p.term = uterm(485, 174, 485) */
		reached[1][174] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.term);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.term = ((int)((P1 *)_this)->uterm);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.term", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.term));
#endif
		;
		/* merge: net[((2*i)+1)].p.tok = wtok(485, 175, 485) */
		reached[1][175] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.tok);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.tok = ((int)((P1 *)_this)->wtok);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.tok", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.tok));
#endif
		;
		/* merge: net[((2*i)+1)].p.st = ust(485, 176, 485) */
		reached[1][176] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.st);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.st = ((int)((P1 *)_this)->ust);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.st", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.st));
#endif
		;
		/* merge: net[((2*i)+1)].p.att = uatt(485, 177, 485) */
		reached[1][177] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.att);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.att = ((int)((P1 *)_this)->uatt);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.att", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.att));
#endif
		;
		/* merge: net[((2*i)+1)].p.rterm = urterm(485, 178, 485) */
		reached[1][178] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.rterm);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.rterm = ((int)((P1 *)_this)->urterm);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.rterm", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.rterm));
#endif
		;
		/* merge: .(goto)(485, 181, 485) */
		reached[1][181] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 8 */
	case 70: // STATE 184 - ../oplog.pml:248 - [((((({c_code3}&&owned[i])&&dirty)&&writing)&&!(net[((2*i)+1)].busy)))] (0:0:2 - 1)
		IfNotBlocked
		reached[1][184] = 1;
		if (!(((((( VARIANT == 4 )&&((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]))&&((int)((P1 *)_this)->dirty))&&((int)((P1 *)_this)->writing))&& !(((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].busy)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 71: // STATE 185 - ../oplog.pml:123 - [wtok = (((2*wver)+i)+1)] (0:195:5 - 1)
		IfNotBlocked
		reached[1][185] = 1;
		(trpt+1)->bup.ovals = grab_ints(5);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->wtok);
		((P1 *)_this)->wtok = (((2*((int)((P1 *)_this)->wver))+((int)((P1 *)_this)->i))+1);
#ifdef VAR_RANGES
		logval("Writer:wtok", ((int)((P1 *)_this)->wtok));
#endif
		;
		/* merge: uterm = wterm[i](195, 186, 195) */
		reached[1][186] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = st(195, 187, 195) */
		reached[1][187] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = ((int)((P1 *)_this)->st);
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = att(195, 188, 195) */
		reached[1][188] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = ((int)((P1 *)_this)->att);
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = rterm(195, 189, 195) */
		reached[1][189] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = ((int)((P1 *)_this)->rterm);
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		_m = 3; goto P999; /* 4 */
	case 72: // STATE 190 - ../oplog.pml:129 - [(cancelled)] (218:0:6 - 1)
		IfNotBlocked
		reached[1][190] = 1;
		if (!(((int)((P1 *)_this)->cancelled)))
			continue;
		/* merge: ust = 0(218, 191, 218) */
		reached[1][191] = 1;
		(trpt+1)->bup.ovals = grab_ints(6);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(218, 192, 218) */
		reached[1][192] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(218, 193, 218) */
		reached[1][193] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(218, 196, 218) */
		reached[1][196] = 1;
		;
		/* merge: ans[i] = 0(218, 197, 218) */
		reached[1][197] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.ans[ Index(((P1 *)_this)->i, 2) ] = 0;
#ifdef VAR_RANGES
		logval("ans[Writer:i]", ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: writing = 1(218, 198, 218) */
		reached[1][198] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->writing);
		((P1 *)_this)->writing = 1;
#ifdef VAR_RANGES
		logval("Writer:writing", ((int)((P1 *)_this)->writing));
#endif
		;
		/* merge: dirty = 0(218, 199, 218) */
		reached[1][199] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = 0;
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		_m = 3; goto P999; /* 7 */
	case 73: // STATE 197 - ../oplog.pml:132 - [ans[i] = 0] (0:218:3 - 3)
		IfNotBlocked
		reached[1][197] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.ans[ Index(((P1 *)_this)->i, 2) ] = 0;
#ifdef VAR_RANGES
		logval("ans[Writer:i]", ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: writing = 1(218, 198, 218) */
		reached[1][198] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->writing);
		((P1 *)_this)->writing = 1;
#ifdef VAR_RANGES
		logval("Writer:writing", ((int)((P1 *)_this)->writing));
#endif
		;
		/* merge: dirty = 0(218, 199, 218) */
		reached[1][199] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = 0;
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 74: // STATE 200 - ../oplog.pml:136 - [(!(net[(2*i)].busy))] (0:0:0 - 1)
		IfNotBlocked
		reached[1][200] = 1;
		if (!( !(((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].busy))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 75: // STATE 201 - ../oplog.pml:112 - [net[(2*i)].busy = 1] (0:485:7 - 1)
		IfNotBlocked
		reached[1][201] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].busy);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].busy = 1;
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].busy", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].busy));
#endif
		;
		/* merge: net[(2*i)].expect = wver(485, 202, 485) */
		reached[1][202] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].expect);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].expect = ((int)((P1 *)_this)->wver);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].expect", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].expect));
#endif
		;
		/* merge: net[(2*i)].p.term = uterm(485, 203, 485) */
		reached[1][203] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.term);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.term = ((int)((P1 *)_this)->uterm);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.term", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.term));
#endif
		;
		/* merge: net[(2*i)].p.tok = wtok(485, 204, 485) */
		reached[1][204] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.tok);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.tok = ((int)((P1 *)_this)->wtok);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.tok", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.tok));
#endif
		;
		/* merge: net[(2*i)].p.st = ust(485, 205, 485) */
		reached[1][205] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.st);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.st = ((int)((P1 *)_this)->ust);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.st", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.st));
#endif
		;
		/* merge: net[(2*i)].p.att = uatt(485, 206, 485) */
		reached[1][206] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.att);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.att = ((int)((P1 *)_this)->uatt);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.att", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.att));
#endif
		;
		/* merge: net[(2*i)].p.rterm = urterm(485, 207, 485) */
		reached[1][207] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.rterm);
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.rterm = ((int)((P1 *)_this)->urterm);
#ifdef VAR_RANGES
		logval("net[(2*Writer:i)].p.rterm", ((int)now.net[ Index((2*((int)((P1 *)_this)->i)), 4) ].p.rterm));
#endif
		;
		/* merge: .(goto)(485, 219, 485) */
		reached[1][219] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 8 */
	case 76: // STATE 219 - ../oplog.pml:139 - [.(goto)] (0:485:0 - 2)
		IfNotBlocked
		reached[1][219] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 77: // STATE 210 - ../oplog.pml:112 - [net[((2*i)+1)].busy = 1] (0:485:7 - 1)
		IfNotBlocked
		reached[1][210] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].busy);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].busy = 1;
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].busy", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].busy));
#endif
		;
		/* merge: net[((2*i)+1)].expect = wver(485, 211, 485) */
		reached[1][211] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].expect);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].expect = ((int)((P1 *)_this)->wver);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].expect", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].expect));
#endif
		;
		/* merge: net[((2*i)+1)].p.term = uterm(485, 212, 485) */
		reached[1][212] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.term);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.term = ((int)((P1 *)_this)->uterm);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.term", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.term));
#endif
		;
		/* merge: net[((2*i)+1)].p.tok = wtok(485, 213, 485) */
		reached[1][213] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.tok);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.tok = ((int)((P1 *)_this)->wtok);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.tok", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.tok));
#endif
		;
		/* merge: net[((2*i)+1)].p.st = ust(485, 214, 485) */
		reached[1][214] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.st);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.st = ((int)((P1 *)_this)->ust);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.st", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.st));
#endif
		;
		/* merge: net[((2*i)+1)].p.att = uatt(485, 215, 485) */
		reached[1][215] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.att);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.att = ((int)((P1 *)_this)->uatt);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.att", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.att));
#endif
		;
		/* merge: net[((2*i)+1)].p.rterm = urterm(485, 216, 485) */
		reached[1][216] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.rterm);
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.rterm = ((int)((P1 *)_this)->urterm);
#ifdef VAR_RANGES
		logval("net[((2*Writer:i)+1)].p.rterm", ((int)now.net[ Index(((2*((int)((P1 *)_this)->i))+1), 4) ].p.rterm));
#endif
		;
		/* merge: .(goto)(485, 219, 485) */
		reached[1][219] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 8 */
	case 78: // STATE 222 - ../oplog.pml:251 - [((writing&&(ans[i]==1)))] (248:0:2 - 1)
		IfNotBlocked
		reached[1][222] = 1;
		if (!((((int)((P1 *)_this)->writing)&&(((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ])==1))))
			continue;
		/* merge: ans[i] = 0(0, 223, 248) */
		reached[1][223] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.ans[ Index(((P1 *)_this)->i, 2) ] = 0;
#ifdef VAR_RANGES
		logval("ans[Writer:i]", ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 79: // STATE 224 - ../oplog.pml:157 - [wver = (wver+1)] (0:242:3 - 1)
		IfNotBlocked
		reached[1][224] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->wver);
		((P1 *)_this)->wver = (((int)((P1 *)_this)->wver)+1);
#ifdef VAR_RANGES
		logval("Writer:wver", ((int)((P1 *)_this)->wver));
#endif
		;
		/* merge: writing = 0(242, 225, 242) */
		reached[1][225] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->writing);
		((P1 *)_this)->writing = 0;
#ifdef VAR_RANGES
		logval("Writer:writing", ((int)((P1 *)_this)->writing));
#endif
		;
		/* merge: wtok = 0(242, 226, 242) */
		reached[1][226] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->wtok);
		((P1 *)_this)->wtok = 0;
#ifdef VAR_RANGES
		logval("Writer:wtok", ((int)((P1 *)_this)->wtok));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 80: // STATE 227 - ../oplog.pml:161 - [(taking)] (485:0:11 - 1)
		IfNotBlocked
		reached[1][227] = 1;
		if (!(((int)((P1 *)_this)->taking)))
			continue;
		/* merge: taking = 0(485, 228, 485) */
		reached[1][228] = 1;
		(trpt+1)->bup.ovals = grab_ints(11);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->taking);
		((P1 *)_this)->taking = 0;
#ifdef VAR_RANGES
		logval("Writer:taking", ((int)((P1 *)_this)->taking));
#endif
		;
		/* merge: owned[i] = 1(485, 229, 485) */
		reached[1][229] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.owned[ Index(((P1 *)_this)->i, 2) ] = 1;
#ifdef VAR_RANGES
		logval("owned[Writer:i]", ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: wterm[i] = uterm(485, 230, 485) */
		reached[1][230] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.wterm[ Index(((P1 *)_this)->i, 2) ] = ((int)((P1 *)_this)->uterm);
#ifdef VAR_RANGES
		logval("wterm[Writer:i]", ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: disp = 0(485, 231, 485) */
		reached[1][231] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->disp);
		((P1 *)_this)->disp = 0;
#ifdef VAR_RANGES
		logval("Writer:disp", ((int)((P1 *)_this)->disp));
#endif
		;
		/* merge: cancelled = 0(485, 232, 485) */
		reached[1][232] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->cancelled);
		((P1 *)_this)->cancelled = 0;
#ifdef VAR_RANGES
		logval("Writer:cancelled", ((int)((P1 *)_this)->cancelled));
#endif
		;
		/* merge: ready = 0(485, 233, 485) */
		reached[1][233] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->ready);
		((P1 *)_this)->ready = 0;
#ifdef VAR_RANGES
		logval("Writer:ready", ((int)((P1 *)_this)->ready));
#endif
		;
		/* merge: .(goto)(485, 243, 485) */
		reached[1][243] = 1;
		;
		/* merge: uterm = 0(485, 244, 485) */
		reached[1][244] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = 0;
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = 0(485, 245, 485) */
		reached[1][245] = 1;
		(trpt+1)->bup.ovals[7] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(485, 246, 485) */
		reached[1][246] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(485, 247, 485) */
		reached[1][247] = 1;
		(trpt+1)->bup.ovals[9] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 81: // STATE 234 - ../oplog.pml:162 - [((!(taking)&&cancelled))] (485:0:9 - 1)
		IfNotBlocked
		reached[1][234] = 1;
		if (!(( !(((int)((P1 *)_this)->taking))&&((int)((P1 *)_this)->cancelled))))
			continue;
		/* merge: st = 0(485, 235, 485) */
		reached[1][235] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->st);
		((P1 *)_this)->st = 0;
#ifdef VAR_RANGES
		logval("Writer:st", ((int)((P1 *)_this)->st));
#endif
		;
		/* merge: att = 0(485, 236, 485) */
		reached[1][236] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->att);
		((P1 *)_this)->att = 0;
#ifdef VAR_RANGES
		logval("Writer:att", ((int)((P1 *)_this)->att));
#endif
		;
		/* merge: rterm = 0(485, 237, 485) */
		reached[1][237] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->rterm);
		((P1 *)_this)->rterm = 0;
#ifdef VAR_RANGES
		logval("Writer:rterm", ((int)((P1 *)_this)->rterm));
#endif
		;
		/* merge: cancelled = 0(485, 238, 485) */
		reached[1][238] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->cancelled);
		((P1 *)_this)->cancelled = 0;
#ifdef VAR_RANGES
		logval("Writer:cancelled", ((int)((P1 *)_this)->cancelled));
#endif
		;
		/* merge: .(goto)(485, 243, 485) */
		reached[1][243] = 1;
		;
		/* merge: uterm = 0(485, 244, 485) */
		reached[1][244] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = 0;
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = 0(485, 245, 485) */
		reached[1][245] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(485, 246, 485) */
		reached[1][246] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(485, 247, 485) */
		reached[1][247] = 1;
		(trpt+1)->bup.ovals[7] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 82: // STATE 239 - ../oplog.pml:163 - [(((!(taking)&&!(cancelled))&&(((((ust==1)&&(uatt==att))&&!(disp))&&(st==1))||{c_code4})))] (485:0:7 - 1)
		IfNotBlocked
		reached[1][239] = 1;
		if (!((( !(((int)((P1 *)_this)->taking))&& !(((int)((P1 *)_this)->cancelled)))&&(((((((int)((P1 *)_this)->ust)==1)&&(((int)((P1 *)_this)->uatt)==((int)((P1 *)_this)->att)))&& !(((int)((P1 *)_this)->disp)))&&(((int)((P1 *)_this)->st)==1))||( VARIANT == 4 )))))
			continue;
		/* merge: ready = 1(485, 240, 485) */
		reached[1][240] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->ready);
		((P1 *)_this)->ready = 1;
#ifdef VAR_RANGES
		logval("Writer:ready", ((int)((P1 *)_this)->ready));
#endif
		;
		/* merge: .(goto)(485, 243, 485) */
		reached[1][243] = 1;
		;
		/* merge: uterm = 0(485, 244, 485) */
		reached[1][244] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = 0;
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = 0(485, 245, 485) */
		reached[1][245] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(485, 246, 485) */
		reached[1][246] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(485, 247, 485) */
		reached[1][247] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 83: // STATE 244 - ../oplog.pml:166 - [uterm = 0] (0:485:4 - 5)
		IfNotBlocked
		reached[1][244] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = 0;
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = 0(485, 245, 485) */
		reached[1][245] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(485, 246, 485) */
		reached[1][246] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(485, 247, 485) */
		reached[1][247] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 84: // STATE 250 - ../oplog.pml:258 - [((((writing&&!({c_code5}))&&(ans[i]!=1))&&((page.tok==wtok)||(ver>wver))))] (335:0:2 - 1)
		IfNotBlocked
		reached[1][250] = 1;
		if (!((((((int)((P1 *)_this)->writing)&& !(( VARIANT == 2 )))&&(((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ])!=1))&&((((int)now.page.tok)==((int)((P1 *)_this)->wtok))||(((int)now.ver)>((int)((P1 *)_this)->wver))))))
			continue;
		/* merge: ans[i] = 0(0, 251, 335) */
		reached[1][251] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.ans[ Index(((P1 *)_this)->i, 2) ] = 0;
#ifdef VAR_RANGES
		logval("ans[Writer:i]", ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 85: // STATE 252 - ../oplog.pml:261 - [((page.tok==wtok))] (0:0:1 - 1)
		IfNotBlocked
		reached[1][252] = 1;
		if (!((((int)now.page.tok)==((int)((P1 *)_this)->wtok))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 86: // STATE 253 - ../oplog.pml:157 - [wver = ver] (0:271:3 - 1)
		IfNotBlocked
		reached[1][253] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->wver);
		((P1 *)_this)->wver = ((int)now.ver);
#ifdef VAR_RANGES
		logval("Writer:wver", ((int)((P1 *)_this)->wver));
#endif
		;
		/* merge: writing = 0(271, 254, 271) */
		reached[1][254] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->writing);
		((P1 *)_this)->writing = 0;
#ifdef VAR_RANGES
		logval("Writer:writing", ((int)((P1 *)_this)->writing));
#endif
		;
		/* merge: wtok = 0(271, 255, 271) */
		reached[1][255] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->wtok);
		((P1 *)_this)->wtok = 0;
#ifdef VAR_RANGES
		logval("Writer:wtok", ((int)((P1 *)_this)->wtok));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 87: // STATE 256 - ../oplog.pml:161 - [(taking)] (485:0:11 - 1)
		IfNotBlocked
		reached[1][256] = 1;
		if (!(((int)((P1 *)_this)->taking)))
			continue;
		/* merge: taking = 0(485, 257, 485) */
		reached[1][257] = 1;
		(trpt+1)->bup.ovals = grab_ints(11);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->taking);
		((P1 *)_this)->taking = 0;
#ifdef VAR_RANGES
		logval("Writer:taking", ((int)((P1 *)_this)->taking));
#endif
		;
		/* merge: owned[i] = 1(485, 258, 485) */
		reached[1][258] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.owned[ Index(((P1 *)_this)->i, 2) ] = 1;
#ifdef VAR_RANGES
		logval("owned[Writer:i]", ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: wterm[i] = uterm(485, 259, 485) */
		reached[1][259] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.wterm[ Index(((P1 *)_this)->i, 2) ] = ((int)((P1 *)_this)->uterm);
#ifdef VAR_RANGES
		logval("wterm[Writer:i]", ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: disp = 0(485, 260, 485) */
		reached[1][260] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->disp);
		((P1 *)_this)->disp = 0;
#ifdef VAR_RANGES
		logval("Writer:disp", ((int)((P1 *)_this)->disp));
#endif
		;
		/* merge: cancelled = 0(485, 261, 485) */
		reached[1][261] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->cancelled);
		((P1 *)_this)->cancelled = 0;
#ifdef VAR_RANGES
		logval("Writer:cancelled", ((int)((P1 *)_this)->cancelled));
#endif
		;
		/* merge: ready = 0(485, 262, 485) */
		reached[1][262] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->ready);
		((P1 *)_this)->ready = 0;
#ifdef VAR_RANGES
		logval("Writer:ready", ((int)((P1 *)_this)->ready));
#endif
		;
		/* merge: .(goto)(485, 272, 485) */
		reached[1][272] = 1;
		;
		/* merge: uterm = 0(485, 273, 485) */
		reached[1][273] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = 0;
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = 0(485, 274, 485) */
		reached[1][274] = 1;
		(trpt+1)->bup.ovals[7] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(485, 275, 485) */
		reached[1][275] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(485, 276, 485) */
		reached[1][276] = 1;
		(trpt+1)->bup.ovals[9] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(485, 336, 485) */
		reached[1][336] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 13 */
	case 88: // STATE 263 - ../oplog.pml:162 - [((!(taking)&&cancelled))] (485:0:9 - 1)
		IfNotBlocked
		reached[1][263] = 1;
		if (!(( !(((int)((P1 *)_this)->taking))&&((int)((P1 *)_this)->cancelled))))
			continue;
		/* merge: st = 0(485, 264, 485) */
		reached[1][264] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->st);
		((P1 *)_this)->st = 0;
#ifdef VAR_RANGES
		logval("Writer:st", ((int)((P1 *)_this)->st));
#endif
		;
		/* merge: att = 0(485, 265, 485) */
		reached[1][265] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->att);
		((P1 *)_this)->att = 0;
#ifdef VAR_RANGES
		logval("Writer:att", ((int)((P1 *)_this)->att));
#endif
		;
		/* merge: rterm = 0(485, 266, 485) */
		reached[1][266] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->rterm);
		((P1 *)_this)->rterm = 0;
#ifdef VAR_RANGES
		logval("Writer:rterm", ((int)((P1 *)_this)->rterm));
#endif
		;
		/* merge: cancelled = 0(485, 267, 485) */
		reached[1][267] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->cancelled);
		((P1 *)_this)->cancelled = 0;
#ifdef VAR_RANGES
		logval("Writer:cancelled", ((int)((P1 *)_this)->cancelled));
#endif
		;
		/* merge: .(goto)(485, 272, 485) */
		reached[1][272] = 1;
		;
		/* merge: uterm = 0(485, 273, 485) */
		reached[1][273] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = 0;
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = 0(485, 274, 485) */
		reached[1][274] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(485, 275, 485) */
		reached[1][275] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(485, 276, 485) */
		reached[1][276] = 1;
		(trpt+1)->bup.ovals[7] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(485, 336, 485) */
		reached[1][336] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 11 */
	case 89: // STATE 268 - ../oplog.pml:163 - [(((!(taking)&&!(cancelled))&&(((((ust==1)&&(uatt==att))&&!(disp))&&(st==1))||{c_code6})))] (485:0:7 - 1)
		IfNotBlocked
		reached[1][268] = 1;
		if (!((( !(((int)((P1 *)_this)->taking))&& !(((int)((P1 *)_this)->cancelled)))&&(((((((int)((P1 *)_this)->ust)==1)&&(((int)((P1 *)_this)->uatt)==((int)((P1 *)_this)->att)))&& !(((int)((P1 *)_this)->disp)))&&(((int)((P1 *)_this)->st)==1))||( VARIANT == 4 )))))
			continue;
		/* merge: ready = 1(485, 269, 485) */
		reached[1][269] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->ready);
		((P1 *)_this)->ready = 1;
#ifdef VAR_RANGES
		logval("Writer:ready", ((int)((P1 *)_this)->ready));
#endif
		;
		/* merge: .(goto)(485, 272, 485) */
		reached[1][272] = 1;
		;
		/* merge: uterm = 0(485, 273, 485) */
		reached[1][273] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = 0;
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = 0(485, 274, 485) */
		reached[1][274] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(485, 275, 485) */
		reached[1][275] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(485, 276, 485) */
		reached[1][276] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(485, 336, 485) */
		reached[1][336] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 8 */
	case 90: // STATE 273 - ../oplog.pml:166 - [uterm = 0] (0:485:4 - 5)
		IfNotBlocked
		reached[1][273] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = 0;
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = 0(485, 274, 485) */
		reached[1][274] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(485, 275, 485) */
		reached[1][275] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(485, 276, 485) */
		reached[1][276] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(485, 336, 485) */
		reached[1][336] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 91: // STATE 336 - ../oplog.pml:264 - [.(goto)] (0:485:0 - 2)
		IfNotBlocked
		reached[1][336] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 92: // STATE 278 - ../oplog.pml:262 - [(((page.tok!=wtok)&&(ver>wver)))] (0:0:1 - 1)
		IfNotBlocked
		reached[1][278] = 1;
		if (!(((((int)now.page.tok)!=((int)((P1 *)_this)->wtok))&&(((int)now.ver)>((int)((P1 *)_this)->wver)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 93: // STATE 279 - ../oplog.pml:171 - [writing = 0] (0:332:9 - 1)
		IfNotBlocked
		reached[1][279] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->writing);
		((P1 *)_this)->writing = 0;
#ifdef VAR_RANGES
		logval("Writer:writing", ((int)((P1 *)_this)->writing));
#endif
		;
		/* merge: ans[i] = 0(332, 280, 332) */
		reached[1][280] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.ans[ Index(((P1 *)_this)->i, 2) ] = 0;
#ifdef VAR_RANGES
		logval("ans[Writer:i]", ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: wtok = 0(332, 281, 332) */
		reached[1][281] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->wtok);
		((P1 *)_this)->wtok = 0;
#ifdef VAR_RANGES
		logval("Writer:wtok", ((int)((P1 *)_this)->wtok));
#endif
		;
		/* merge: uterm = 0(332, 282, 332) */
		reached[1][282] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = 0;
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = 0(332, 283, 332) */
		reached[1][283] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(332, 284, 332) */
		reached[1][284] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(332, 285, 332) */
		reached[1][285] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: dirty = 0(332, 286, 332) */
		reached[1][286] = 1;
		(trpt+1)->bup.ovals[7] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = 0;
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		/* merge: ready = 0(332, 287, 332) */
		reached[1][287] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P1 *)_this)->ready);
		((P1 *)_this)->ready = 0;
#ifdef VAR_RANGES
		logval("Writer:ready", ((int)((P1 *)_this)->ready));
#endif
		;
		_m = 3; goto P999; /* 8 */
	case 94: // STATE 288 - ../oplog.pml:177 - [(taking)] (485:0:2 - 1)
		IfNotBlocked
		reached[1][288] = 1;
		if (!(((int)((P1 *)_this)->taking)))
			continue;
		/* merge: taking = 0(485, 289, 485) */
		reached[1][289] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->taking);
		((P1 *)_this)->taking = 0;
#ifdef VAR_RANGES
		logval("Writer:taking", ((int)((P1 *)_this)->taking));
#endif
		;
		/* merge: .(goto)(485, 333, 485) */
		reached[1][333] = 1;
		;
		/* merge: .(goto)(485, 336, 485) */
		reached[1][336] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 95: // STATE 333 - ../oplog.pml:200 - [.(goto)] (0:485:0 - 2)
		IfNotBlocked
		reached[1][333] = 1;
		;
		/* merge: .(goto)(485, 336, 485) */
		reached[1][336] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 96: // STATE 291 - ../oplog.pml:179 - [owned[i] = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[1][291] = 1;
		(trpt+1)->bup.oval = ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.owned[ Index(((P1 *)_this)->i, 2) ] = 0;
#ifdef VAR_RANGES
		logval("owned[Writer:i]", ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 97: // STATE 292 - ../oplog.pml:181 - [((((st==1)&&(rterm==wterm[i]))&&!(disp)))] (0:0:3 - 1)
		IfNotBlocked
		reached[1][292] = 1;
		if (!((((((int)((P1 *)_this)->st)==1)&&(((int)((P1 *)_this)->rterm)==((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ])))&& !(((int)((P1 *)_this)->disp)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 98: // STATE 293 - ../oplog.pml:144 - [(((cur[0]==waiting[0])&&(waiting[0]!=0)))] (309:0:4 - 1)
		IfNotBlocked
		reached[1][293] = 1;
		if (!(((((int)now.cur[0])==((int)((P1 *)_this)->waiting[0]))&&(((int)((P1 *)_this)->waiting[0])!=0))))
			continue;
		/* merge: got[0] = 5(309, 294, 309) */
		reached[1][294] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.got[0]);
		now.got[0] = 5;
#ifdef VAR_RANGES
		logval("got[0]", ((int)now.got[0]));
#endif
		;
		/* merge: gotTerm[0] = wterm[i](309, 295, 309) */
		reached[1][295] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.gotTerm[0]);
		now.gotTerm[0] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("gotTerm[0]", ((int)now.gotTerm[0]));
#endif
		;
		/* merge: cur[0] = 0(309, 296, 309) */
		reached[1][296] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cur[0]);
		now.cur[0] = 0;
#ifdef VAR_RANGES
		logval("cur[0]", ((int)now.cur[0]));
#endif
		;
		/* merge: .(goto)(309, 299, 309) */
		reached[1][299] = 1;
		;
		/* merge: waiting[0] = 0(309, 301, 309) */
		reached[1][301] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->waiting[0]);
		((P1 *)_this)->waiting[0] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[0]", ((int)((P1 *)_this)->waiting[0]));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 99: // STATE 301 - ../oplog.pml:151 - [waiting[0] = 0] (0:309:1 - 3)
		IfNotBlocked
		reached[1][301] = 1;
		(trpt+1)->bup.oval = ((int)((P1 *)_this)->waiting[0]);
		((P1 *)_this)->waiting[0] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[0]", ((int)((P1 *)_this)->waiting[0]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 100: // STATE 302 - ../oplog.pml:144 - [(((cur[1]==waiting[1])&&(waiting[1]!=0)))] (315:0:4 - 1)
		IfNotBlocked
		reached[1][302] = 1;
		if (!(((((int)now.cur[1])==((int)((P1 *)_this)->waiting[1]))&&(((int)((P1 *)_this)->waiting[1])!=0))))
			continue;
		/* merge: got[1] = 5(315, 303, 315) */
		reached[1][303] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.got[1]);
		now.got[1] = 5;
#ifdef VAR_RANGES
		logval("got[1]", ((int)now.got[1]));
#endif
		;
		/* merge: gotTerm[1] = wterm[i](315, 304, 315) */
		reached[1][304] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.gotTerm[1]);
		now.gotTerm[1] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("gotTerm[1]", ((int)now.gotTerm[1]));
#endif
		;
		/* merge: cur[1] = 0(315, 305, 315) */
		reached[1][305] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cur[1]);
		now.cur[1] = 0;
#ifdef VAR_RANGES
		logval("cur[1]", ((int)now.cur[1]));
#endif
		;
		/* merge: .(goto)(315, 308, 315) */
		reached[1][308] = 1;
		;
		/* merge: waiting[1] = 0(315, 310, 315) */
		reached[1][310] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->waiting[1]);
		((P1 *)_this)->waiting[1] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[1]", ((int)((P1 *)_this)->waiting[1]));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 101: // STATE 310 - ../oplog.pml:153 - [waiting[1] = 0] (0:315:1 - 3)
		IfNotBlocked
		reached[1][310] = 1;
		(trpt+1)->bup.oval = ((int)((P1 *)_this)->waiting[1]);
		((P1 *)_this)->waiting[1] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[1]", ((int)((P1 *)_this)->waiting[1]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 102: // STATE 312 - ../oplog.pml:184 - [((!(cancelled)&&(len(proof)<2)))] (0:0:0 - 1)
		IfNotBlocked
		reached[1][312] = 1;
		if (!(( !(((int)((P1 *)_this)->cancelled))&&(q_len(now.proof)<2))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 103: // STATE 313 - ../oplog.pml:184 - [proof!att] (0:0:0 - 1)
		IfNotBlocked
		reached[1][313] = 1;
		if (q_full(now.proof))
			continue;
#ifdef HAS_CODE
		if (readtrail && gui) {
			char simtmp[64];
			sprintf(simvals, "%d!", now.proof);
		sprintf(simtmp, "%d", ((int)((P1 *)_this)->att)); strcat(simvals, simtmp);		}
#endif
		
		qsend(now.proof, 0, ((int)((P1 *)_this)->att), 0, 0, 1);
		_m = 2; goto P999; /* 0 */
	case 104: // STATE 314 - ../oplog.pml:185 - [((cancelled||(len(proof)==2)))] (0:0:0 - 1)
		IfNotBlocked
		reached[1][314] = 1;
		if (!((((int)((P1 *)_this)->cancelled)||(q_len(now.proof)==2))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 105: // STATE 317 - ../oplog.pml:188 - [(({c_code7}&&!(cancelled)))] (485:0:8 - 1)
		IfNotBlocked
		reached[1][317] = 1;
		if (!((( VARIANT == 6 )&& !(((int)((P1 *)_this)->cancelled)))))
			continue;
		/* merge: runs = (runs+1)(485, 318, 485) */
		reached[1][318] = 1;
		(trpt+1)->bup.ovals = grab_ints(8);
		(trpt+1)->bup.ovals[0] = ((int)now.runs);
		now.runs = (((int)now.runs)+1);
#ifdef VAR_RANGES
		logval("runs", ((int)now.runs));
#endif
		;
		/* merge: ranFor[((att-1)/2)] = 1(485, 319, 485) */
		reached[1][319] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.ranFor[ Index(((((int)((P1 *)_this)->att)-1)/2), 2) ]);
		now.ranFor[ Index(((((P1 *)_this)->att-1)/2), 2) ] = 1;
#ifdef VAR_RANGES
		logval("ranFor[((Writer:att-1)/2)]", ((int)now.ranFor[ Index(((((int)((P1 *)_this)->att)-1)/2), 2) ]));
#endif
		;
		/* merge: assert(!(toldNo[((att-1)/2)]))(485, 320, 485) */
		reached[1][320] = 1;
		spin_assert( !(((int)now.toldNo[ Index(((((int)((P1 *)_this)->att)-1)/2), 2) ])), " !(toldNo[((att-1)/2)])", II, tt, t);
		/* merge: .(goto)(485, 323, 485) */
		reached[1][323] = 1;
		;
		/* merge: .(goto)(485, 326, 485) */
		reached[1][326] = 1;
		;
		/* merge: st = 0(485, 327, 485) */
		reached[1][327] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->st);
		((P1 *)_this)->st = 0;
#ifdef VAR_RANGES
		logval("Writer:st", ((int)((P1 *)_this)->st));
#endif
		;
		/* merge: att = 0(485, 328, 485) */
		reached[1][328] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->att);
		((P1 *)_this)->att = 0;
#ifdef VAR_RANGES
		logval("Writer:att", ((int)((P1 *)_this)->att));
#endif
		;
		/* merge: rterm = 0(485, 329, 485) */
		reached[1][329] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->rterm);
		((P1 *)_this)->rterm = 0;
#ifdef VAR_RANGES
		logval("Writer:rterm", ((int)((P1 *)_this)->rterm));
#endif
		;
		/* merge: cancelled = 0(485, 330, 485) */
		reached[1][330] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->cancelled);
		((P1 *)_this)->cancelled = 0;
#ifdef VAR_RANGES
		logval("Writer:cancelled", ((int)((P1 *)_this)->cancelled));
#endif
		;
		/* merge: disp = 0(485, 331, 485) */
		reached[1][331] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P1 *)_this)->disp);
		((P1 *)_this)->disp = 0;
#ifdef VAR_RANGES
		logval("Writer:disp", ((int)((P1 *)_this)->disp));
#endif
		;
		/* merge: .(goto)(485, 333, 485) */
		reached[1][333] = 1;
		;
		/* merge: .(goto)(485, 336, 485) */
		reached[1][336] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 13 */
	case 106: // STATE 327 - ../oplog.pml:194 - [st = 0] (0:485:5 - 5)
		IfNotBlocked
		reached[1][327] = 1;
		(trpt+1)->bup.ovals = grab_ints(5);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->st);
		((P1 *)_this)->st = 0;
#ifdef VAR_RANGES
		logval("Writer:st", ((int)((P1 *)_this)->st));
#endif
		;
		/* merge: att = 0(485, 328, 485) */
		reached[1][328] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->att);
		((P1 *)_this)->att = 0;
#ifdef VAR_RANGES
		logval("Writer:att", ((int)((P1 *)_this)->att));
#endif
		;
		/* merge: rterm = 0(485, 329, 485) */
		reached[1][329] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->rterm);
		((P1 *)_this)->rterm = 0;
#ifdef VAR_RANGES
		logval("Writer:rterm", ((int)((P1 *)_this)->rterm));
#endif
		;
		/* merge: cancelled = 0(485, 330, 485) */
		reached[1][330] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->cancelled);
		((P1 *)_this)->cancelled = 0;
#ifdef VAR_RANGES
		logval("Writer:cancelled", ((int)((P1 *)_this)->cancelled));
#endif
		;
		/* merge: disp = 0(485, 331, 485) */
		reached[1][331] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->disp);
		((P1 *)_this)->disp = 0;
#ifdef VAR_RANGES
		logval("Writer:disp", ((int)((P1 *)_this)->disp));
#endif
		;
		/* merge: .(goto)(485, 333, 485) */
		reached[1][333] = 1;
		;
		/* merge: .(goto)(485, 336, 485) */
		reached[1][336] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 107: // STATE 338 - ../oplog.pml:265 - [(((writing&&{c_code8})&&(ans[i]==2)))] (0:0:1 - 1)
		IfNotBlocked
		reached[1][338] = 1;
		if (!(((((int)((P1 *)_this)->writing)&&( VARIANT == 2 ))&&(((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ])==2))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 108: // STATE 339 - ../oplog.pml:171 - [writing = 0] (0:392:9 - 1)
		IfNotBlocked
		reached[1][339] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->writing);
		((P1 *)_this)->writing = 0;
#ifdef VAR_RANGES
		logval("Writer:writing", ((int)((P1 *)_this)->writing));
#endif
		;
		/* merge: ans[i] = 0(392, 340, 392) */
		reached[1][340] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.ans[ Index(((P1 *)_this)->i, 2) ] = 0;
#ifdef VAR_RANGES
		logval("ans[Writer:i]", ((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: wtok = 0(392, 341, 392) */
		reached[1][341] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->wtok);
		((P1 *)_this)->wtok = 0;
#ifdef VAR_RANGES
		logval("Writer:wtok", ((int)((P1 *)_this)->wtok));
#endif
		;
		/* merge: uterm = 0(392, 342, 392) */
		reached[1][342] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = 0;
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = 0(392, 343, 392) */
		reached[1][343] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(392, 344, 392) */
		reached[1][344] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(392, 345, 392) */
		reached[1][345] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: dirty = 0(392, 346, 392) */
		reached[1][346] = 1;
		(trpt+1)->bup.ovals[7] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = 0;
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		/* merge: ready = 0(392, 347, 392) */
		reached[1][347] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P1 *)_this)->ready);
		((P1 *)_this)->ready = 0;
#ifdef VAR_RANGES
		logval("Writer:ready", ((int)((P1 *)_this)->ready));
#endif
		;
		_m = 3; goto P999; /* 8 */
	case 109: // STATE 348 - ../oplog.pml:177 - [(taking)] (485:0:2 - 1)
		IfNotBlocked
		reached[1][348] = 1;
		if (!(((int)((P1 *)_this)->taking)))
			continue;
		/* merge: taking = 0(485, 349, 485) */
		reached[1][349] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->taking);
		((P1 *)_this)->taking = 0;
#ifdef VAR_RANGES
		logval("Writer:taking", ((int)((P1 *)_this)->taking));
#endif
		;
		/* merge: .(goto)(485, 393, 485) */
		reached[1][393] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 110: // STATE 393 - ../oplog.pml:200 - [.(goto)] (0:485:0 - 2)
		IfNotBlocked
		reached[1][393] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 111: // STATE 351 - ../oplog.pml:179 - [owned[i] = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[1][351] = 1;
		(trpt+1)->bup.oval = ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.owned[ Index(((P1 *)_this)->i, 2) ] = 0;
#ifdef VAR_RANGES
		logval("owned[Writer:i]", ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 112: // STATE 352 - ../oplog.pml:181 - [((((st==1)&&(rterm==wterm[i]))&&!(disp)))] (0:0:3 - 1)
		IfNotBlocked
		reached[1][352] = 1;
		if (!((((((int)((P1 *)_this)->st)==1)&&(((int)((P1 *)_this)->rterm)==((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ])))&& !(((int)((P1 *)_this)->disp)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 113: // STATE 353 - ../oplog.pml:144 - [(((cur[0]==waiting[0])&&(waiting[0]!=0)))] (369:0:4 - 1)
		IfNotBlocked
		reached[1][353] = 1;
		if (!(((((int)now.cur[0])==((int)((P1 *)_this)->waiting[0]))&&(((int)((P1 *)_this)->waiting[0])!=0))))
			continue;
		/* merge: got[0] = 5(369, 354, 369) */
		reached[1][354] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.got[0]);
		now.got[0] = 5;
#ifdef VAR_RANGES
		logval("got[0]", ((int)now.got[0]));
#endif
		;
		/* merge: gotTerm[0] = wterm[i](369, 355, 369) */
		reached[1][355] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.gotTerm[0]);
		now.gotTerm[0] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("gotTerm[0]", ((int)now.gotTerm[0]));
#endif
		;
		/* merge: cur[0] = 0(369, 356, 369) */
		reached[1][356] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cur[0]);
		now.cur[0] = 0;
#ifdef VAR_RANGES
		logval("cur[0]", ((int)now.cur[0]));
#endif
		;
		/* merge: .(goto)(369, 359, 369) */
		reached[1][359] = 1;
		;
		/* merge: waiting[0] = 0(369, 361, 369) */
		reached[1][361] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->waiting[0]);
		((P1 *)_this)->waiting[0] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[0]", ((int)((P1 *)_this)->waiting[0]));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 114: // STATE 361 - ../oplog.pml:151 - [waiting[0] = 0] (0:369:1 - 3)
		IfNotBlocked
		reached[1][361] = 1;
		(trpt+1)->bup.oval = ((int)((P1 *)_this)->waiting[0]);
		((P1 *)_this)->waiting[0] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[0]", ((int)((P1 *)_this)->waiting[0]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 115: // STATE 362 - ../oplog.pml:144 - [(((cur[1]==waiting[1])&&(waiting[1]!=0)))] (375:0:4 - 1)
		IfNotBlocked
		reached[1][362] = 1;
		if (!(((((int)now.cur[1])==((int)((P1 *)_this)->waiting[1]))&&(((int)((P1 *)_this)->waiting[1])!=0))))
			continue;
		/* merge: got[1] = 5(375, 363, 375) */
		reached[1][363] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.got[1]);
		now.got[1] = 5;
#ifdef VAR_RANGES
		logval("got[1]", ((int)now.got[1]));
#endif
		;
		/* merge: gotTerm[1] = wterm[i](375, 364, 375) */
		reached[1][364] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.gotTerm[1]);
		now.gotTerm[1] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("gotTerm[1]", ((int)now.gotTerm[1]));
#endif
		;
		/* merge: cur[1] = 0(375, 365, 375) */
		reached[1][365] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cur[1]);
		now.cur[1] = 0;
#ifdef VAR_RANGES
		logval("cur[1]", ((int)now.cur[1]));
#endif
		;
		/* merge: .(goto)(375, 368, 375) */
		reached[1][368] = 1;
		;
		/* merge: waiting[1] = 0(375, 370, 375) */
		reached[1][370] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->waiting[1]);
		((P1 *)_this)->waiting[1] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[1]", ((int)((P1 *)_this)->waiting[1]));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 116: // STATE 370 - ../oplog.pml:153 - [waiting[1] = 0] (0:375:1 - 3)
		IfNotBlocked
		reached[1][370] = 1;
		(trpt+1)->bup.oval = ((int)((P1 *)_this)->waiting[1]);
		((P1 *)_this)->waiting[1] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[1]", ((int)((P1 *)_this)->waiting[1]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 117: // STATE 372 - ../oplog.pml:184 - [((!(cancelled)&&(len(proof)<2)))] (0:0:0 - 1)
		IfNotBlocked
		reached[1][372] = 1;
		if (!(( !(((int)((P1 *)_this)->cancelled))&&(q_len(now.proof)<2))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 118: // STATE 373 - ../oplog.pml:184 - [proof!att] (0:0:0 - 1)
		IfNotBlocked
		reached[1][373] = 1;
		if (q_full(now.proof))
			continue;
#ifdef HAS_CODE
		if (readtrail && gui) {
			char simtmp[64];
			sprintf(simvals, "%d!", now.proof);
		sprintf(simtmp, "%d", ((int)((P1 *)_this)->att)); strcat(simvals, simtmp);		}
#endif
		
		qsend(now.proof, 0, ((int)((P1 *)_this)->att), 0, 0, 1);
		_m = 2; goto P999; /* 0 */
	case 119: // STATE 374 - ../oplog.pml:185 - [((cancelled||(len(proof)==2)))] (0:0:0 - 1)
		IfNotBlocked
		reached[1][374] = 1;
		if (!((((int)((P1 *)_this)->cancelled)||(q_len(now.proof)==2))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 120: // STATE 377 - ../oplog.pml:188 - [(({c_code9}&&!(cancelled)))] (485:0:8 - 1)
		IfNotBlocked
		reached[1][377] = 1;
		if (!((( VARIANT == 6 )&& !(((int)((P1 *)_this)->cancelled)))))
			continue;
		/* merge: runs = (runs+1)(485, 378, 485) */
		reached[1][378] = 1;
		(trpt+1)->bup.ovals = grab_ints(8);
		(trpt+1)->bup.ovals[0] = ((int)now.runs);
		now.runs = (((int)now.runs)+1);
#ifdef VAR_RANGES
		logval("runs", ((int)now.runs));
#endif
		;
		/* merge: ranFor[((att-1)/2)] = 1(485, 379, 485) */
		reached[1][379] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.ranFor[ Index(((((int)((P1 *)_this)->att)-1)/2), 2) ]);
		now.ranFor[ Index(((((P1 *)_this)->att-1)/2), 2) ] = 1;
#ifdef VAR_RANGES
		logval("ranFor[((Writer:att-1)/2)]", ((int)now.ranFor[ Index(((((int)((P1 *)_this)->att)-1)/2), 2) ]));
#endif
		;
		/* merge: assert(!(toldNo[((att-1)/2)]))(485, 380, 485) */
		reached[1][380] = 1;
		spin_assert( !(((int)now.toldNo[ Index(((((int)((P1 *)_this)->att)-1)/2), 2) ])), " !(toldNo[((att-1)/2)])", II, tt, t);
		/* merge: .(goto)(485, 383, 485) */
		reached[1][383] = 1;
		;
		/* merge: .(goto)(485, 386, 485) */
		reached[1][386] = 1;
		;
		/* merge: st = 0(485, 387, 485) */
		reached[1][387] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->st);
		((P1 *)_this)->st = 0;
#ifdef VAR_RANGES
		logval("Writer:st", ((int)((P1 *)_this)->st));
#endif
		;
		/* merge: att = 0(485, 388, 485) */
		reached[1][388] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->att);
		((P1 *)_this)->att = 0;
#ifdef VAR_RANGES
		logval("Writer:att", ((int)((P1 *)_this)->att));
#endif
		;
		/* merge: rterm = 0(485, 389, 485) */
		reached[1][389] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->rterm);
		((P1 *)_this)->rterm = 0;
#ifdef VAR_RANGES
		logval("Writer:rterm", ((int)((P1 *)_this)->rterm));
#endif
		;
		/* merge: cancelled = 0(485, 390, 485) */
		reached[1][390] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->cancelled);
		((P1 *)_this)->cancelled = 0;
#ifdef VAR_RANGES
		logval("Writer:cancelled", ((int)((P1 *)_this)->cancelled));
#endif
		;
		/* merge: disp = 0(485, 391, 485) */
		reached[1][391] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P1 *)_this)->disp);
		((P1 *)_this)->disp = 0;
#ifdef VAR_RANGES
		logval("Writer:disp", ((int)((P1 *)_this)->disp));
#endif
		;
		/* merge: .(goto)(485, 393, 485) */
		reached[1][393] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 121: // STATE 387 - ../oplog.pml:194 - [st = 0] (0:485:5 - 5)
		IfNotBlocked
		reached[1][387] = 1;
		(trpt+1)->bup.ovals = grab_ints(5);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->st);
		((P1 *)_this)->st = 0;
#ifdef VAR_RANGES
		logval("Writer:st", ((int)((P1 *)_this)->st));
#endif
		;
		/* merge: att = 0(485, 388, 485) */
		reached[1][388] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->att);
		((P1 *)_this)->att = 0;
#ifdef VAR_RANGES
		logval("Writer:att", ((int)((P1 *)_this)->att));
#endif
		;
		/* merge: rterm = 0(485, 389, 485) */
		reached[1][389] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->rterm);
		((P1 *)_this)->rterm = 0;
#ifdef VAR_RANGES
		logval("Writer:rterm", ((int)((P1 *)_this)->rterm));
#endif
		;
		/* merge: cancelled = 0(485, 390, 485) */
		reached[1][390] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->cancelled);
		((P1 *)_this)->cancelled = 0;
#ifdef VAR_RANGES
		logval("Writer:cancelled", ((int)((P1 *)_this)->cancelled));
#endif
		;
		/* merge: disp = 0(485, 391, 485) */
		reached[1][391] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->disp);
		((P1 *)_this)->disp = 0;
#ifdef VAR_RANGES
		logval("Writer:disp", ((int)((P1 *)_this)->disp));
#endif
		;
		/* merge: .(goto)(485, 393, 485) */
		reached[1][393] = 1;
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 122: // STATE 396 - ../oplog.pml:266 - [(((writing&&{c_code10})&&(ans[i]==0)))] (0:0:1 - 1)
		IfNotBlocked
		reached[1][396] = 1;
		if (!(((((int)((P1 *)_this)->writing)&&( VARIANT == 2 ))&&(((int)now.ans[ Index(((int)((P1 *)_this)->i), 2) ])==0))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 123: // STATE 397 - ../oplog.pml:157 - [wver = (wver+1)] (0:415:3 - 1)
		IfNotBlocked
		reached[1][397] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->wver);
		((P1 *)_this)->wver = (((int)((P1 *)_this)->wver)+1);
#ifdef VAR_RANGES
		logval("Writer:wver", ((int)((P1 *)_this)->wver));
#endif
		;
		/* merge: writing = 0(415, 398, 415) */
		reached[1][398] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->writing);
		((P1 *)_this)->writing = 0;
#ifdef VAR_RANGES
		logval("Writer:writing", ((int)((P1 *)_this)->writing));
#endif
		;
		/* merge: wtok = 0(415, 399, 415) */
		reached[1][399] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->wtok);
		((P1 *)_this)->wtok = 0;
#ifdef VAR_RANGES
		logval("Writer:wtok", ((int)((P1 *)_this)->wtok));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 124: // STATE 400 - ../oplog.pml:161 - [(taking)] (485:0:11 - 1)
		IfNotBlocked
		reached[1][400] = 1;
		if (!(((int)((P1 *)_this)->taking)))
			continue;
		/* merge: taking = 0(485, 401, 485) */
		reached[1][401] = 1;
		(trpt+1)->bup.ovals = grab_ints(11);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->taking);
		((P1 *)_this)->taking = 0;
#ifdef VAR_RANGES
		logval("Writer:taking", ((int)((P1 *)_this)->taking));
#endif
		;
		/* merge: owned[i] = 1(485, 402, 485) */
		reached[1][402] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.owned[ Index(((P1 *)_this)->i, 2) ] = 1;
#ifdef VAR_RANGES
		logval("owned[Writer:i]", ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: wterm[i] = uterm(485, 403, 485) */
		reached[1][403] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
		now.wterm[ Index(((P1 *)_this)->i, 2) ] = ((int)((P1 *)_this)->uterm);
#ifdef VAR_RANGES
		logval("wterm[Writer:i]", ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]));
#endif
		;
		/* merge: disp = 0(485, 404, 485) */
		reached[1][404] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->disp);
		((P1 *)_this)->disp = 0;
#ifdef VAR_RANGES
		logval("Writer:disp", ((int)((P1 *)_this)->disp));
#endif
		;
		/* merge: cancelled = 0(485, 405, 485) */
		reached[1][405] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->cancelled);
		((P1 *)_this)->cancelled = 0;
#ifdef VAR_RANGES
		logval("Writer:cancelled", ((int)((P1 *)_this)->cancelled));
#endif
		;
		/* merge: ready = 0(485, 406, 485) */
		reached[1][406] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->ready);
		((P1 *)_this)->ready = 0;
#ifdef VAR_RANGES
		logval("Writer:ready", ((int)((P1 *)_this)->ready));
#endif
		;
		/* merge: .(goto)(485, 416, 485) */
		reached[1][416] = 1;
		;
		/* merge: uterm = 0(485, 417, 485) */
		reached[1][417] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = 0;
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = 0(485, 418, 485) */
		reached[1][418] = 1;
		(trpt+1)->bup.ovals[7] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(485, 419, 485) */
		reached[1][419] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(485, 420, 485) */
		reached[1][420] = 1;
		(trpt+1)->bup.ovals[9] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 125: // STATE 407 - ../oplog.pml:162 - [((!(taking)&&cancelled))] (485:0:9 - 1)
		IfNotBlocked
		reached[1][407] = 1;
		if (!(( !(((int)((P1 *)_this)->taking))&&((int)((P1 *)_this)->cancelled))))
			continue;
		/* merge: st = 0(485, 408, 485) */
		reached[1][408] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->st);
		((P1 *)_this)->st = 0;
#ifdef VAR_RANGES
		logval("Writer:st", ((int)((P1 *)_this)->st));
#endif
		;
		/* merge: att = 0(485, 409, 485) */
		reached[1][409] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->att);
		((P1 *)_this)->att = 0;
#ifdef VAR_RANGES
		logval("Writer:att", ((int)((P1 *)_this)->att));
#endif
		;
		/* merge: rterm = 0(485, 410, 485) */
		reached[1][410] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->rterm);
		((P1 *)_this)->rterm = 0;
#ifdef VAR_RANGES
		logval("Writer:rterm", ((int)((P1 *)_this)->rterm));
#endif
		;
		/* merge: cancelled = 0(485, 411, 485) */
		reached[1][411] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->cancelled);
		((P1 *)_this)->cancelled = 0;
#ifdef VAR_RANGES
		logval("Writer:cancelled", ((int)((P1 *)_this)->cancelled));
#endif
		;
		/* merge: .(goto)(485, 416, 485) */
		reached[1][416] = 1;
		;
		/* merge: uterm = 0(485, 417, 485) */
		reached[1][417] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = 0;
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = 0(485, 418, 485) */
		reached[1][418] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(485, 419, 485) */
		reached[1][419] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(485, 420, 485) */
		reached[1][420] = 1;
		(trpt+1)->bup.ovals[7] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 126: // STATE 412 - ../oplog.pml:163 - [(((!(taking)&&!(cancelled))&&(((((ust==1)&&(uatt==att))&&!(disp))&&(st==1))||{c_code11})))] (485:0:7 - 1)
		IfNotBlocked
		reached[1][412] = 1;
		if (!((( !(((int)((P1 *)_this)->taking))&& !(((int)((P1 *)_this)->cancelled)))&&(((((((int)((P1 *)_this)->ust)==1)&&(((int)((P1 *)_this)->uatt)==((int)((P1 *)_this)->att)))&& !(((int)((P1 *)_this)->disp)))&&(((int)((P1 *)_this)->st)==1))||( VARIANT == 4 )))))
			continue;
		/* merge: ready = 1(485, 413, 485) */
		reached[1][413] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->ready);
		((P1 *)_this)->ready = 1;
#ifdef VAR_RANGES
		logval("Writer:ready", ((int)((P1 *)_this)->ready));
#endif
		;
		/* merge: .(goto)(485, 416, 485) */
		reached[1][416] = 1;
		;
		/* merge: uterm = 0(485, 417, 485) */
		reached[1][417] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = 0;
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = 0(485, 418, 485) */
		reached[1][418] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(485, 419, 485) */
		reached[1][419] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(485, 420, 485) */
		reached[1][420] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 127: // STATE 417 - ../oplog.pml:166 - [uterm = 0] (0:485:4 - 5)
		IfNotBlocked
		reached[1][417] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->uterm);
		((P1 *)_this)->uterm = 0;
#ifdef VAR_RANGES
		logval("Writer:uterm", ((int)((P1 *)_this)->uterm));
#endif
		;
		/* merge: ust = 0(485, 418, 485) */
		reached[1][418] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->ust);
		((P1 *)_this)->ust = 0;
#ifdef VAR_RANGES
		logval("Writer:ust", ((int)((P1 *)_this)->ust));
#endif
		;
		/* merge: uatt = 0(485, 419, 485) */
		reached[1][419] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->uatt);
		((P1 *)_this)->uatt = 0;
#ifdef VAR_RANGES
		logval("Writer:uatt", ((int)((P1 *)_this)->uatt));
#endif
		;
		/* merge: urterm = 0(485, 420, 485) */
		reached[1][420] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->urterm);
		((P1 *)_this)->urterm = 0;
#ifdef VAR_RANGES
		logval("Writer:urterm", ((int)((P1 *)_this)->urterm));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 128: // STATE 423 - ../oplog.pml:269 - [((((((owned[i]&&(st==1))&&(rterm==wterm[i]))&&!(disp))&&!(cancelled))&&(ready||{c_code12})))] (485:0:4 - 1)
		IfNotBlocked
		reached[1][423] = 1;
		if (!((((((((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ])&&(((int)((P1 *)_this)->st)==1))&&(((int)((P1 *)_this)->rterm)==((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ])))&& !(((int)((P1 *)_this)->disp)))&& !(((int)((P1 *)_this)->cancelled)))&&(((int)((P1 *)_this)->ready)||( VARIANT == 1 )))))
			continue;
		/* merge: disp = 1(485, 424, 485) */
		reached[1][424] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->disp);
		((P1 *)_this)->disp = 1;
#ifdef VAR_RANGES
		logval("Writer:disp", ((int)((P1 *)_this)->disp));
#endif
		;
		/* merge: runs = (runs+1)(485, 425, 485) */
		reached[1][425] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.runs);
		now.runs = (((int)now.runs)+1);
#ifdef VAR_RANGES
		logval("runs", ((int)now.runs));
#endif
		;
		/* merge: ranFor[((att-1)/2)] = 1(485, 426, 485) */
		reached[1][426] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.ranFor[ Index(((((int)((P1 *)_this)->att)-1)/2), 2) ]);
		now.ranFor[ Index(((((P1 *)_this)->att-1)/2), 2) ] = 1;
#ifdef VAR_RANGES
		logval("ranFor[((Writer:att-1)/2)]", ((int)now.ranFor[ Index(((((int)((P1 *)_this)->att)-1)/2), 2) ]));
#endif
		;
		/* merge: assert((runs<=1))(485, 427, 485) */
		reached[1][427] = 1;
		spin_assert((((int)now.runs)<=1), "(runs<=1)", II, tt, t);
		/* merge: assert(!(toldNo[((att-1)/2)]))(485, 428, 485) */
		reached[1][428] = 1;
		spin_assert( !(((int)now.toldNo[ Index(((((int)((P1 *)_this)->att)-1)/2), 2) ])), " !(toldNo[((att-1)/2)])", II, tt, t);
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 129: // STATE 430 - ../oplog.pml:277 - [((disp&&(st==1)))] (451:0:3 - 1)
		IfNotBlocked
		reached[1][430] = 1;
		if (!((((int)((P1 *)_this)->disp)&&(((int)((P1 *)_this)->st)==1))))
			continue;
		/* merge: st = 2(451, 431, 451) */
		reached[1][431] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->st);
		((P1 *)_this)->st = 2;
#ifdef VAR_RANGES
		logval("Writer:st", ((int)((P1 *)_this)->st));
#endif
		;
		/* merge: ready = 0(451, 432, 451) */
		reached[1][432] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->ready);
		((P1 *)_this)->ready = 0;
#ifdef VAR_RANGES
		logval("Writer:ready", ((int)((P1 *)_this)->ready));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 130: // STATE 433 - ../oplog.pml:144 - [(((cur[0]==waiting[0])&&(waiting[0]!=0)))] (449:0:4 - 1)
		IfNotBlocked
		reached[1][433] = 1;
		if (!(((((int)now.cur[0])==((int)((P1 *)_this)->waiting[0]))&&(((int)((P1 *)_this)->waiting[0])!=0))))
			continue;
		/* merge: got[0] = 1(449, 434, 449) */
		reached[1][434] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.got[0]);
		now.got[0] = 1;
#ifdef VAR_RANGES
		logval("got[0]", ((int)now.got[0]));
#endif
		;
		/* merge: gotTerm[0] = wterm[i](449, 435, 449) */
		reached[1][435] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.gotTerm[0]);
		now.gotTerm[0] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("gotTerm[0]", ((int)now.gotTerm[0]));
#endif
		;
		/* merge: cur[0] = 0(449, 436, 449) */
		reached[1][436] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cur[0]);
		now.cur[0] = 0;
#ifdef VAR_RANGES
		logval("cur[0]", ((int)now.cur[0]));
#endif
		;
		/* merge: .(goto)(449, 439, 449) */
		reached[1][439] = 1;
		;
		/* merge: waiting[0] = 0(449, 441, 449) */
		reached[1][441] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->waiting[0]);
		((P1 *)_this)->waiting[0] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[0]", ((int)((P1 *)_this)->waiting[0]));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 131: // STATE 441 - ../oplog.pml:151 - [waiting[0] = 0] (0:449:1 - 3)
		IfNotBlocked
		reached[1][441] = 1;
		(trpt+1)->bup.oval = ((int)((P1 *)_this)->waiting[0]);
		((P1 *)_this)->waiting[0] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[0]", ((int)((P1 *)_this)->waiting[0]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 132: // STATE 442 - ../oplog.pml:144 - [(((cur[1]==waiting[1])&&(waiting[1]!=0)))] (485:0:5 - 1)
		IfNotBlocked
		reached[1][442] = 1;
		if (!(((((int)now.cur[1])==((int)((P1 *)_this)->waiting[1]))&&(((int)((P1 *)_this)->waiting[1])!=0))))
			continue;
		/* merge: got[1] = 1(485, 443, 485) */
		reached[1][443] = 1;
		(trpt+1)->bup.ovals = grab_ints(5);
		(trpt+1)->bup.ovals[0] = ((int)now.got[1]);
		now.got[1] = 1;
#ifdef VAR_RANGES
		logval("got[1]", ((int)now.got[1]));
#endif
		;
		/* merge: gotTerm[1] = wterm[i](485, 444, 485) */
		reached[1][444] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.gotTerm[1]);
		now.gotTerm[1] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("gotTerm[1]", ((int)now.gotTerm[1]));
#endif
		;
		/* merge: cur[1] = 0(485, 445, 485) */
		reached[1][445] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cur[1]);
		now.cur[1] = 0;
#ifdef VAR_RANGES
		logval("cur[1]", ((int)now.cur[1]));
#endif
		;
		/* merge: .(goto)(485, 448, 485) */
		reached[1][448] = 1;
		;
		/* merge: waiting[1] = 0(485, 450, 485) */
		reached[1][450] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->waiting[1]);
		((P1 *)_this)->waiting[1] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[1]", ((int)((P1 *)_this)->waiting[1]));
#endif
		;
		/* merge: dirty = owned[i](485, 452, 485) */
		reached[1][452] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 133: // STATE 450 - ../oplog.pml:153 - [waiting[1] = 0] (0:485:2 - 3)
		IfNotBlocked
		reached[1][450] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->waiting[1]);
		((P1 *)_this)->waiting[1] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[1]", ((int)((P1 *)_this)->waiting[1]));
#endif
		;
		/* merge: dirty = owned[i](485, 452, 485) */
		reached[1][452] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = ((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 134: // STATE 454 - ../oplog.pml:280 - [(((((owned[i]&&(st==1))&&(rterm==wterm[i]))&&!(disp))&&!(cancelled)))] (475:0:3 - 1)
		IfNotBlocked
		reached[1][454] = 1;
		if (!(((((((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ])&&(((int)((P1 *)_this)->st)==1))&&(((int)((P1 *)_this)->rterm)==((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ])))&& !(((int)((P1 *)_this)->disp)))&& !(((int)((P1 *)_this)->cancelled)))))
			continue;
		/* merge: cancelled = 1(475, 455, 475) */
		reached[1][455] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->cancelled);
		((P1 *)_this)->cancelled = 1;
#ifdef VAR_RANGES
		logval("Writer:cancelled", ((int)((P1 *)_this)->cancelled));
#endif
		;
		/* merge: ready = 0(475, 456, 475) */
		reached[1][456] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->ready);
		((P1 *)_this)->ready = 0;
#ifdef VAR_RANGES
		logval("Writer:ready", ((int)((P1 *)_this)->ready));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 135: // STATE 457 - ../oplog.pml:144 - [(((cur[0]==waiting[0])&&(waiting[0]!=0)))] (473:0:4 - 1)
		IfNotBlocked
		reached[1][457] = 1;
		if (!(((((int)now.cur[0])==((int)((P1 *)_this)->waiting[0]))&&(((int)((P1 *)_this)->waiting[0])!=0))))
			continue;
		/* merge: got[0] = 2(473, 458, 473) */
		reached[1][458] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.got[0]);
		now.got[0] = 2;
#ifdef VAR_RANGES
		logval("got[0]", ((int)now.got[0]));
#endif
		;
		/* merge: gotTerm[0] = wterm[i](473, 459, 473) */
		reached[1][459] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.gotTerm[0]);
		now.gotTerm[0] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("gotTerm[0]", ((int)now.gotTerm[0]));
#endif
		;
		/* merge: cur[0] = 0(473, 460, 473) */
		reached[1][460] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cur[0]);
		now.cur[0] = 0;
#ifdef VAR_RANGES
		logval("cur[0]", ((int)now.cur[0]));
#endif
		;
		/* merge: .(goto)(473, 463, 473) */
		reached[1][463] = 1;
		;
		/* merge: waiting[0] = 0(473, 465, 473) */
		reached[1][465] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->waiting[0]);
		((P1 *)_this)->waiting[0] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[0]", ((int)((P1 *)_this)->waiting[0]));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 136: // STATE 465 - ../oplog.pml:151 - [waiting[0] = 0] (0:473:1 - 3)
		IfNotBlocked
		reached[1][465] = 1;
		(trpt+1)->bup.oval = ((int)((P1 *)_this)->waiting[0]);
		((P1 *)_this)->waiting[0] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[0]", ((int)((P1 *)_this)->waiting[0]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 137: // STATE 466 - ../oplog.pml:144 - [(((cur[1]==waiting[1])&&(waiting[1]!=0)))] (485:0:5 - 1)
		IfNotBlocked
		reached[1][466] = 1;
		if (!(((((int)now.cur[1])==((int)((P1 *)_this)->waiting[1]))&&(((int)((P1 *)_this)->waiting[1])!=0))))
			continue;
		/* merge: got[1] = 2(485, 467, 485) */
		reached[1][467] = 1;
		(trpt+1)->bup.ovals = grab_ints(5);
		(trpt+1)->bup.ovals[0] = ((int)now.got[1]);
		now.got[1] = 2;
#ifdef VAR_RANGES
		logval("got[1]", ((int)now.got[1]));
#endif
		;
		/* merge: gotTerm[1] = wterm[i](485, 468, 485) */
		reached[1][468] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.gotTerm[1]);
		now.gotTerm[1] = ((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ]);
#ifdef VAR_RANGES
		logval("gotTerm[1]", ((int)now.gotTerm[1]));
#endif
		;
		/* merge: cur[1] = 0(485, 469, 485) */
		reached[1][469] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cur[1]);
		now.cur[1] = 0;
#ifdef VAR_RANGES
		logval("cur[1]", ((int)now.cur[1]));
#endif
		;
		/* merge: .(goto)(485, 472, 485) */
		reached[1][472] = 1;
		;
		/* merge: waiting[1] = 0(485, 474, 485) */
		reached[1][474] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->waiting[1]);
		((P1 *)_this)->waiting[1] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[1]", ((int)((P1 *)_this)->waiting[1]));
#endif
		;
		/* merge: dirty = 1(485, 476, 485) */
		reached[1][476] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = 1;
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 138: // STATE 474 - ../oplog.pml:153 - [waiting[1] = 0] (0:485:2 - 3)
		IfNotBlocked
		reached[1][474] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->waiting[1]);
		((P1 *)_this)->waiting[1] = 0;
#ifdef VAR_RANGES
		logval("Writer:waiting[1]", ((int)((P1 *)_this)->waiting[1]));
#endif
		;
		/* merge: dirty = 1(485, 476, 485) */
		reached[1][476] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = 1;
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 139: // STATE 478 - ../oplog.pml:288 - [(((((owned[i]&&!(writing))&&(st==1))&&(rterm!=wterm[i]))&&proof??[eval(att)]))] (0:0:2 - 1)
		IfNotBlocked
		reached[1][478] = 1;
		if (!(((((((int)now.owned[ Index(((int)((P1 *)_this)->i), 2) ])&& !(((int)((P1 *)_this)->writing)))&&(((int)((P1 *)_this)->st)==1))&&(((int)((P1 *)_this)->rterm)!=((int)now.wterm[ Index(((int)((P1 *)_this)->i), 2) ])))&&Q_has(now.proof, 1, ((int)((P1 *)_this)->att), 0, 0, 0, 0))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 140: // STATE 479 - ../oplog.pml:289 - [proof??eval(att)] (485:0:6 - 1)
		reached[1][479] = 1;
		if (q_len(now.proof) == 0) continue;

		XX=1;
		if (!(XX = Q_has(now.proof, 1, ((int)((P1 *)_this)->att), 0, 0, 0, 0))) continue;
		(trpt+1)->bup.ovals = grab_ints(6);
		(trpt+1)->bup.ovals[0] = XX;
		;
		qrecv(now.proof, XX-1, 0, 1);
		
#ifdef HAS_CODE
		if (readtrail && gui) {
			char simtmp[32];
			sprintf(simvals, "%d?", now.proof);
		sprintf(simtmp, "%d", ((int)((P1 *)_this)->att)); strcat(simvals, simtmp);		}
#endif
		;
		/* merge: st = 0(485, 480, 485) */
		reached[1][480] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P1 *)_this)->st);
		((P1 *)_this)->st = 0;
#ifdef VAR_RANGES
		logval("Writer:st", ((int)((P1 *)_this)->st));
#endif
		;
		/* merge: att = 0(485, 481, 485) */
		reached[1][481] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P1 *)_this)->att);
		((P1 *)_this)->att = 0;
#ifdef VAR_RANGES
		logval("Writer:att", ((int)((P1 *)_this)->att));
#endif
		;
		/* merge: rterm = 0(485, 482, 485) */
		reached[1][482] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P1 *)_this)->rterm);
		((P1 *)_this)->rterm = 0;
#ifdef VAR_RANGES
		logval("Writer:rterm", ((int)((P1 *)_this)->rterm));
#endif
		;
		/* merge: dirty = 1(485, 483, 485) */
		reached[1][483] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P1 *)_this)->dirty);
		((P1 *)_this)->dirty = 1;
#ifdef VAR_RANGES
		logval("Writer:dirty", ((int)((P1 *)_this)->dirty));
#endif
		;
		/* merge: .(goto)(0, 486, 485) */
		reached[1][486] = 1;
		;
		_m = 4; goto P999; /* 5 */
	case 141: // STATE 488 - ../oplog.pml:294 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[1][488] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC Store */
	case 142: // STATE 1 - ../oplog.pml:81 - [(net[0].busy)] (28:0:2 - 1)
		IfNotBlocked
		reached[0][1] = 1;
		if (!(((int)now.net[0].busy)))
			continue;
		/* merge: s = 0(28, 2, 28) */
		reached[0][2] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 0;
#ifdef VAR_RANGES
		logval("Store:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(28, 10, 28) */
		reached[0][10] = 1;
		;
		/* merge: net[s].busy = 0(28, 11, 28) */
		reached[0][11] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].busy);
		now.net[ Index(((P0 *)_this)->s, 4) ].busy = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].busy", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].busy));
#endif
		;
		_m = 3; goto P999; /* 3 */
	case 143: // STATE 3 - ../oplog.pml:82 - [(net[1].busy)] (28:0:2 - 1)
		IfNotBlocked
		reached[0][3] = 1;
		if (!(((int)now.net[1].busy)))
			continue;
		/* merge: s = 1(28, 4, 28) */
		reached[0][4] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 1;
#ifdef VAR_RANGES
		logval("Store:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(28, 10, 28) */
		reached[0][10] = 1;
		;
		/* merge: net[s].busy = 0(28, 11, 28) */
		reached[0][11] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].busy);
		now.net[ Index(((P0 *)_this)->s, 4) ].busy = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].busy", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].busy));
#endif
		;
		_m = 3; goto P999; /* 3 */
	case 144: // STATE 5 - ../oplog.pml:83 - [(net[2].busy)] (28:0:2 - 1)
		IfNotBlocked
		reached[0][5] = 1;
		if (!(((int)now.net[2].busy)))
			continue;
		/* merge: s = 2(28, 6, 28) */
		reached[0][6] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 2;
#ifdef VAR_RANGES
		logval("Store:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(28, 10, 28) */
		reached[0][10] = 1;
		;
		/* merge: net[s].busy = 0(28, 11, 28) */
		reached[0][11] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].busy);
		now.net[ Index(((P0 *)_this)->s, 4) ].busy = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].busy", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].busy));
#endif
		;
		_m = 3; goto P999; /* 3 */
	case 145: // STATE 7 - ../oplog.pml:84 - [(net[3].busy)] (28:0:2 - 1)
		IfNotBlocked
		reached[0][7] = 1;
		if (!(((int)now.net[3].busy)))
			continue;
		/* merge: s = 3(28, 8, 28) */
		reached[0][8] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 3;
#ifdef VAR_RANGES
		logval("Store:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(28, 10, 28) */
		reached[0][10] = 1;
		;
		/* merge: net[s].busy = 0(28, 11, 28) */
		reached[0][11] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].busy);
		now.net[ Index(((P0 *)_this)->s, 4) ].busy = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].busy", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].busy));
#endif
		;
		_m = 3; goto P999; /* 3 */
	case 146: // STATE 11 - ../oplog.pml:86 - [net[s].busy = 0] (0:28:1 - 5)
		IfNotBlocked
		reached[0][11] = 1;
		(trpt+1)->bup.oval = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].busy);
		now.net[ Index(((P0 *)_this)->s, 4) ].busy = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].busy", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].busy));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 147: // STATE 12 - ../oplog.pml:88 - [((net[s].expect==ver))] (21:0:6 - 1)
		IfNotBlocked
		reached[0][12] = 1;
		if (!((((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].expect)==((int)now.ver))))
			continue;
		/* merge: ver = (ver+1)(21, 13, 21) */
		reached[0][13] = 1;
		(trpt+1)->bup.ovals = grab_ints(6);
		(trpt+1)->bup.ovals[0] = ((int)now.ver);
		now.ver = (((int)now.ver)+1);
#ifdef VAR_RANGES
		logval("ver", ((int)now.ver));
#endif
		;
		/* merge: page.term = net[s].p.term(21, 14, 21) */
		reached[0][14] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.page.term);
		now.page.term = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.term);
#ifdef VAR_RANGES
		logval("page.term", ((int)now.page.term));
#endif
		;
		/* merge: page.tok = net[s].p.tok(21, 15, 21) */
		reached[0][15] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.page.tok);
		now.page.tok = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.tok);
#ifdef VAR_RANGES
		logval("page.tok", ((int)now.page.tok));
#endif
		;
		/* merge: page.st = net[s].p.st(21, 16, 21) */
		reached[0][16] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.page.st);
		now.page.st = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.st);
#ifdef VAR_RANGES
		logval("page.st", ((int)now.page.st));
#endif
		;
		/* merge: page.att = net[s].p.att(21, 17, 21) */
		reached[0][17] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.page.att);
		now.page.att = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.att);
#ifdef VAR_RANGES
		logval("page.att", ((int)now.page.att));
#endif
		;
		/* merge: page.rterm = net[s].p.rterm(21, 18, 21) */
		reached[0][18] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.page.rterm);
		now.page.rterm = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.rterm);
#ifdef VAR_RANGES
		logval("page.rterm", ((int)now.page.rterm));
#endif
		;
		_m = 3; goto P999; /* 6 */
	case 148: // STATE 19 - ../oplog.pml:96 - [ans[(s/2)] = 1] (0:38:8 - 1)
		IfNotBlocked
		reached[0][19] = 1;
		(trpt+1)->bup.ovals = grab_ints(8);
		(trpt+1)->bup.ovals[0] = ((int)now.ans[ Index((((int)((P0 *)_this)->s)/2), 2) ]);
		now.ans[ Index((((P0 *)_this)->s/2), 2) ] = 1;
#ifdef VAR_RANGES
		logval("ans[(Store:s/2)]", ((int)now.ans[ Index((((int)((P0 *)_this)->s)/2), 2) ]));
#endif
		;
		/* merge: .(goto)(38, 22, 38) */
		reached[0][22] = 1;
		;
		/* merge: .(goto)(38, 29, 38) */
		reached[0][29] = 1;
		;
		/* merge: net[s].expect = 0(38, 30, 38) */
		reached[0][30] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].expect);
		now.net[ Index(((P0 *)_this)->s, 4) ].expect = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].expect", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].expect));
#endif
		;
		/* merge: net[s].p.term = 0(38, 31, 38) */
		reached[0][31] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.term);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.term = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.term", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.term));
#endif
		;
		/* merge: net[s].p.tok = 0(38, 32, 38) */
		reached[0][32] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.tok);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.tok = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.tok", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.tok));
#endif
		;
		/* merge: net[s].p.st = 0(38, 33, 38) */
		reached[0][33] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.st);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.st = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.st", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.st));
#endif
		;
		/* merge: net[s].p.att = 0(38, 34, 38) */
		reached[0][34] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.att);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.att = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.att", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.att));
#endif
		;
		/* merge: net[s].p.rterm = 0(38, 35, 38) */
		reached[0][35] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.rterm);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.rterm = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.rterm", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.rterm));
#endif
		;
		/* merge: s = 0(38, 36, 38) */
		reached[0][36] = 1;
		(trpt+1)->bup.ovals[7] = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 0;
#ifdef VAR_RANGES
		logval("Store:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(0, 39, 38) */
		reached[0][39] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 149: // STATE 20 - ../oplog.pml:97 - [(1)] (38:0:7 - 1)
		IfNotBlocked
		reached[0][20] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(38, 22, 38) */
		reached[0][22] = 1;
		;
		/* merge: .(goto)(38, 29, 38) */
		reached[0][29] = 1;
		;
		/* merge: net[s].expect = 0(38, 30, 38) */
		reached[0][30] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].expect);
		now.net[ Index(((P0 *)_this)->s, 4) ].expect = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].expect", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].expect));
#endif
		;
		/* merge: net[s].p.term = 0(38, 31, 38) */
		reached[0][31] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.term);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.term = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.term", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.term));
#endif
		;
		/* merge: net[s].p.tok = 0(38, 32, 38) */
		reached[0][32] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.tok);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.tok = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.tok", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.tok));
#endif
		;
		/* merge: net[s].p.st = 0(38, 33, 38) */
		reached[0][33] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.st);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.st = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.st", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.st));
#endif
		;
		/* merge: net[s].p.att = 0(38, 34, 38) */
		reached[0][34] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.att);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.att = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.att", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.att));
#endif
		;
		/* merge: net[s].p.rterm = 0(38, 35, 38) */
		reached[0][35] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.rterm);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.rterm = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.rterm", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.rterm));
#endif
		;
		/* merge: s = 0(38, 36, 38) */
		reached[0][36] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 0;
#ifdef VAR_RANGES
		logval("Store:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(0, 39, 38) */
		reached[0][39] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 150: // STATE 24 - ../oplog.pml:101 - [ans[(s/2)] = 2] (0:38:8 - 1)
		IfNotBlocked
		reached[0][24] = 1;
		(trpt+1)->bup.ovals = grab_ints(8);
		(trpt+1)->bup.ovals[0] = ((int)now.ans[ Index((((int)((P0 *)_this)->s)/2), 2) ]);
		now.ans[ Index((((P0 *)_this)->s/2), 2) ] = 2;
#ifdef VAR_RANGES
		logval("ans[(Store:s/2)]", ((int)now.ans[ Index((((int)((P0 *)_this)->s)/2), 2) ]));
#endif
		;
		/* merge: .(goto)(38, 27, 38) */
		reached[0][27] = 1;
		;
		/* merge: .(goto)(38, 29, 38) */
		reached[0][29] = 1;
		;
		/* merge: net[s].expect = 0(38, 30, 38) */
		reached[0][30] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].expect);
		now.net[ Index(((P0 *)_this)->s, 4) ].expect = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].expect", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].expect));
#endif
		;
		/* merge: net[s].p.term = 0(38, 31, 38) */
		reached[0][31] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.term);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.term = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.term", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.term));
#endif
		;
		/* merge: net[s].p.tok = 0(38, 32, 38) */
		reached[0][32] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.tok);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.tok = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.tok", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.tok));
#endif
		;
		/* merge: net[s].p.st = 0(38, 33, 38) */
		reached[0][33] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.st);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.st = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.st", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.st));
#endif
		;
		/* merge: net[s].p.att = 0(38, 34, 38) */
		reached[0][34] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.att);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.att = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.att", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.att));
#endif
		;
		/* merge: net[s].p.rterm = 0(38, 35, 38) */
		reached[0][35] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.rterm);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.rterm = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.rterm", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.rterm));
#endif
		;
		/* merge: s = 0(38, 36, 38) */
		reached[0][36] = 1;
		(trpt+1)->bup.ovals[7] = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 0;
#ifdef VAR_RANGES
		logval("Store:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(0, 39, 38) */
		reached[0][39] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 151: // STATE 25 - ../oplog.pml:102 - [(1)] (38:0:7 - 1)
		IfNotBlocked
		reached[0][25] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(38, 27, 38) */
		reached[0][27] = 1;
		;
		/* merge: .(goto)(38, 29, 38) */
		reached[0][29] = 1;
		;
		/* merge: net[s].expect = 0(38, 30, 38) */
		reached[0][30] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].expect);
		now.net[ Index(((P0 *)_this)->s, 4) ].expect = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].expect", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].expect));
#endif
		;
		/* merge: net[s].p.term = 0(38, 31, 38) */
		reached[0][31] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.term);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.term = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.term", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.term));
#endif
		;
		/* merge: net[s].p.tok = 0(38, 32, 38) */
		reached[0][32] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.tok);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.tok = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.tok", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.tok));
#endif
		;
		/* merge: net[s].p.st = 0(38, 33, 38) */
		reached[0][33] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.st);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.st = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.st", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.st));
#endif
		;
		/* merge: net[s].p.att = 0(38, 34, 38) */
		reached[0][34] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.att);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.att = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.att", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.att));
#endif
		;
		/* merge: net[s].p.rterm = 0(38, 35, 38) */
		reached[0][35] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.rterm);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.rterm = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.rterm", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.rterm));
#endif
		;
		/* merge: s = 0(38, 36, 38) */
		reached[0][36] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 0;
#ifdef VAR_RANGES
		logval("Store:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(0, 39, 38) */
		reached[0][39] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 152: // STATE 30 - ../oplog.pml:105 - [net[s].expect = 0] (0:38:7 - 7)
		IfNotBlocked
		reached[0][30] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].expect);
		now.net[ Index(((P0 *)_this)->s, 4) ].expect = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].expect", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].expect));
#endif
		;
		/* merge: net[s].p.term = 0(38, 31, 38) */
		reached[0][31] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.term);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.term = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.term", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.term));
#endif
		;
		/* merge: net[s].p.tok = 0(38, 32, 38) */
		reached[0][32] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.tok);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.tok = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.tok", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.tok));
#endif
		;
		/* merge: net[s].p.st = 0(38, 33, 38) */
		reached[0][33] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.st);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.st = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.st", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.st));
#endif
		;
		/* merge: net[s].p.att = 0(38, 34, 38) */
		reached[0][34] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.att);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.att = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.att", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.att));
#endif
		;
		/* merge: net[s].p.rterm = 0(38, 35, 38) */
		reached[0][35] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.rterm);
		now.net[ Index(((P0 *)_this)->s, 4) ].p.rterm = 0;
#ifdef VAR_RANGES
		logval("net[Store:s].p.rterm", ((int)now.net[ Index(((int)((P0 *)_this)->s), 4) ].p.rterm));
#endif
		;
		/* merge: s = 0(38, 36, 38) */
		reached[0][36] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 0;
#ifdef VAR_RANGES
		logval("Store:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(0, 39, 38) */
		reached[0][39] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 153: // STATE 41 - ../oplog.pml:109 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[0][41] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */
	case  _T5:	/* np_ */
		if (!((!(trpt->o_pm&4) && !(trpt->tau&128))))
			continue;
		/* else fall through */
	case  _T2:	/* true */
		_m = 3; goto P999;
#undef rand
	}

