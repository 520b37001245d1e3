#ifdef PEG
struct T_SRC {
	char *fl; int ln;
} T_SRC[NTRANS];

void
tr_2_src(int m, char *file, int ln)
{	T_SRC[m].fl = file;
	T_SRC[m].ln = ln;
}

void
putpeg(int n, int m)
{	printf("%5d	trans %4d ", m, n);
	printf("%s:%d\n",
		T_SRC[n].fl, T_SRC[n].ln);
}
#endif

void
settable(void)
{	Trans *T;
	Trans *settr(int, int, int, int, int, char *, int, int, int);

	trans = (Trans ***) emalloc(5*sizeof(Trans **));

	/* proctype 3: :init: */

	trans[3] = (Trans **) emalloc(8*sizeof(Trans *));

	T = trans[ 3][6] = settr(600,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(600,2,1,0,0,"ATOMIC", 1, 2, 0);
	trans[3][1]	= settr(595,2,2,3,3,"ver = 1", 1, 2, 0);
	trans[3][2]	= settr(596,2,3,4,4,"(run Writer(0))", 1, 2, 0);
	trans[3][3]	= settr(597,2,4,5,5,"(run Writer(1))", 1, 2, 0);
	trans[3][4]	= settr(598,2,5,6,6,"(run Request(0,2))", 1, 2, 0);
	trans[3][5]	= settr(599,0,7,7,7,"(run Request(1,1))", 1, 2, 0);
	trans[3][7]	= settr(601,0,0,8,8,"-end-", 0, 3500, 0);

	/* proctype 2: Request */

	trans[2] = (Trans **) emalloc(67*sizeof(Trans *));

	trans[2][64]	= settr(592,0,63,1,0,".(goto)", 0, 2, 0);
	T = trans[2][63] = settr(591,0,0,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(591,0,1,0,0,"DO", 0, 2, 0);
	    T->nxt	= settr(591,0,54,0,0,"DO", 0, 2, 0);
	trans[2][1]	= settr(529,0,7,9,0,"((tries<limit))", 0, 2, 0);
	T = trans[ 2][7] = settr(535,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(535,2,4,0,0,"ATOMIC", 1, 2, 0);
	T = trans[2][4] = settr(532,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(532,2,2,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(532,2,3,0,0,"IF", 1, 2, 0);
	trans[2][2]	= settr(530,4,52,10,10,"i = 0", 1, 2, 0); /* m: 5 -> 0,52 */
	reached2[5] = 1;
	trans[2][5]	= settr(533,4,52,11,11,".(goto)", 1, 2, 0); /* m: 6 -> 0,52 */
	reached2[6] = 1;
	trans[2][3]	= settr(531,4,52,12,12,"i = 1", 1, 2, 0); /* m: 5 -> 0,52 */
	reached2[5] = 1;
	trans[2][6]	= settr(0,0,0,0,0,"want[i] = 1",0,0,0);
	T = trans[2][52] = settr(580,0,0,0,0,"IF", 0, 2, 0);
	T = T->nxt	= settr(580,0,10,0,0,"IF", 0, 2, 0);
	    T->nxt	= settr(580,0,50,0,0,"IF", 0, 2, 0);
	T = trans[ 2][10] = settr(538,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(538,2,8,0,0,"ATOMIC", 1, 2, 0);
	trans[2][8]	= settr(536,4,15,13,13,"(owned[i])", 1, 2, 0); /* m: 9 -> 15,0 */
	reached2[9] = 1;
	trans[2][9]	= settr(0,0,0,0,0,"t = wterm[i]",0,0,0);
	T = trans[ 2][15] = settr(543,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(543,2,11,0,0,"ATOMIC", 1, 3, 0);
	trans[2][11]	= settr(539,2,14,14,14,"a = (((r*2)+tries)+1)", 1, 3, 0); /* m: 12 -> 0,14 */
	reached2[12] = 1;
	trans[2][12]	= settr(0,0,0,0,0,"tries = (tries+1)",0,0,0);
	trans[2][13]	= settr(0,0,0,0,0,"cur[r] = a",0,0,0);
	trans[2][14]	= settr(542,0,28,15,15,"sub[i]!r,a,t", 1, 3, 0);
	T = trans[ 2][28] = settr(556,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(556,2,21,0,0,"ATOMIC", 1, 2, 0);
	T = trans[2][21] = settr(549,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(549,2,16,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(549,2,19,0,0,"IF", 1, 2, 0);
	trans[2][16]	= settr(544,4,45,16,16,"((got[r]!=0))", 1, 2, 0); /* m: 17 -> 45,0 */
	reached2[17] = 1;
	trans[2][17]	= settr(0,0,0,0,0,"v = got[r]",0,0,0);
	trans[2][18]	= settr(0,0,0,0,0,"vt = gotTerm[r]",0,0,0);
	trans[2][22]	= settr(550,2,23,1,0,".(goto)", 1, 2, 0); /* m: 23 -> 0,45 */
	reached2[23] = 1;
	trans[2][19]	= settr(547,4,45,17,17,"v = 0", 1, 2, 0); /* m: 20 -> 0,45 */
	reached2[20] = 1;
	trans[2][20]	= settr(0,0,0,0,0,"vt = 0",0,0,0);
	trans[2][23]	= settr(551,4,45,18,18,"cur[r] = 0", 1, 2, 0); /* m: 24 -> 0,45 */
	reached2[24] = 1;
	trans[2][24]	= settr(0,0,0,0,0,"got[r] = 0",0,0,0);
	trans[2][25]	= settr(0,0,0,0,0,"gotTerm[r] = 0",0,0,0);
	trans[2][26]	= settr(0,0,0,0,0,"a = 0",0,0,0);
	trans[2][27]	= settr(0,0,0,0,0,"i = 0",0,0,0);
	T = trans[2][45] = settr(573,0,0,0,0,"IF", 0, 2, 0);
	T = T->nxt	= settr(573,0,29,0,0,"IF", 0, 2, 0);
	T = T->nxt	= settr(573,0,31,0,0,"IF", 0, 2, 0);
	T = T->nxt	= settr(573,0,36,0,0,"IF", 0, 2, 0);
	T = T->nxt	= settr(573,0,38,0,0,"IF", 0, 2, 0);
	    T->nxt	= settr(573,0,39,0,0,"IF", 0, 2, 0);
	trans[2][29]	= settr(557,0,66,19,0,"(((v==1)||(v==3)))", 0, 2, 0);
	trans[2][30]	= settr(558,0,66,1,0,"goto :b2", 0, 2, 0);
	trans[2][46]	= settr(574,0,47,1,0,".(goto)", 0, 2, 0); /* m: 47 -> 0,63 */
	reached2[47] = 1;
	trans[2][31]	= settr(559,0,34,20,0,"(((v==2)&&((open<vt)||{c_code13})))", 0, 2, 0);
	T = trans[ 2][34] = settr(562,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(562,2,32,0,0,"ATOMIC", 1, 2, 0);
	trans[2][32]	= settr(560,0,66,21,21,"assert(!(ranFor[r]))", 1, 2, 0); /* m: 33 -> 0,66 */
	reached2[33] = 1;
	trans[2][33]	= settr(0,0,0,0,0,"toldNo[r] = 1",0,0,0);
	trans[2][35]	= settr(563,0,66,1,0,"goto :b2", 0, 2, 0);
	trans[2][36]	= settr(564,0,66,22,0,"(((v==2)&&!(((open<vt)||{c_code14}))))", 0, 2, 0);
	trans[2][37]	= settr(565,0,66,1,0,"goto :b2", 0, 2, 0);
	trans[2][38]	= settr(566,0,63,23,23,"((v==4))", 0, 2, 0); /* m: 47 -> 63,0 */
	reached2[47] = 1;
	trans[2][39]	= settr(567,0,43,24,0,"(((v==0)||(v==5)))", 0, 2, 0);
	T = trans[2][43] = settr(571,0,0,0,0,"IF", 0, 2, 0);
	T = T->nxt	= settr(571,0,40,0,0,"IF", 0, 2, 0);
	    T->nxt	= settr(571,0,42,0,0,"IF", 0, 2, 0);
	trans[2][40]	= settr(568,0,63,25,25,"((t>open))", 0, 2, 0); /* m: 41 -> 63,0 */
	reached2[41] = 1;
	trans[2][41]	= settr(0,0,0,0,0,"open = t",0,0,0);
	trans[2][44]	= settr(572,0,47,1,0,".(goto)", 0, 2, 0); /* m: 47 -> 0,63 */
	reached2[47] = 1;
	trans[2][42]	= settr(570,0,47,2,0,"else", 0, 2, 0);
	trans[2][47]	= settr(575,0,63,26,26,"t = 0", 0, 2, 0); /* m: 48 -> 0,63 */
	reached2[48] = 1;
	trans[2][48]	= settr(0,0,0,0,0,"v = 0",0,0,0);
	trans[2][49]	= settr(0,0,0,0,0,"vt = 0",0,0,0);
	trans[2][53]	= settr(581,0,63,1,0,".(goto)", 0, 2, 0);
	trans[2][50]	= settr(578,0,63,27,27,"(1)", 0, 2, 0); /* m: 51 -> 63,0 */
	reached2[51] = 1;
	trans[2][51]	= settr(0,0,0,0,0,"tries = (tries+1)",0,0,0);
	trans[2][54]	= settr(582,0,60,1,0,"(1)", 0, 2, 0);
	T = trans[2][60] = settr(588,0,0,0,0,"IF", 0, 2, 0);
	T = T->nxt	= settr(588,0,55,0,0,"IF", 0, 2, 0);
	    T->nxt	= settr(588,0,59,0,0,"IF", 0, 2, 0);
	trans[2][55]	= settr(583,0,58,28,0,"((open==0))", 0, 2, 0);
	T = trans[ 2][58] = settr(586,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(586,2,56,0,0,"ATOMIC", 1, 2, 0);
	trans[2][56]	= settr(584,0,66,29,29,"assert(!(ranFor[r]))", 1, 2, 0); /* m: 57 -> 0,66 */
	reached2[57] = 1;
	trans[2][57]	= settr(0,0,0,0,0,"toldNo[r] = 1",0,0,0);
	trans[2][61]	= settr(589,0,66,1,0,".(goto)", 0, 2, 0);
	trans[2][59]	= settr(587,0,66,2,0,"else", 0, 2, 0);
	trans[2][62]	= settr(590,0,66,1,0,"goto :b2", 0, 2, 0);
	trans[2][65]	= settr(593,0,66,1,0,"break", 0, 2, 0);
	trans[2][66]	= settr(594,0,0,30,30,"-end-", 0, 3500, 0);

	/* proctype 1: Writer */

	trans[1] = (Trans **) emalloc(489*sizeof(Trans *));

	trans[1][486]	= settr(526,0,485,1,0,".(goto)", 0, 2, 0);
	T = trans[1][485] = settr(525,0,0,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(525,0,91,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(525,0,145,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(525,0,183,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(525,0,221,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(525,0,249,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(525,0,337,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(525,0,395,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(525,0,422,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(525,0,429,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(525,0,453,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(525,0,477,0,0,"DO", 0, 2, 0);
	    T->nxt	= settr(525,0,484,0,0,"DO", 0, 2, 0);
	T = trans[ 1][91] = settr(131,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(131,2,1,0,0,"ATOMIC", 1, 2, 0);
	trans[1][1]	= settr(41,2,89,31,31,"(((((want[i]&&!(owned[i]))&&!(writing))&&(page.term<3))&&!(net[(2*i)].busy)))", 1, 2, 0); /* m: 2 -> 89,0 */
	reached1[2] = 1;
	trans[1][2]	= settr(0,0,0,0,0,"wver = ver",0,0,0);
	trans[1][3]	= settr(0,0,0,0,0,"st = page.st",0,0,0);
	trans[1][4]	= settr(0,0,0,0,0,"att = page.att",0,0,0);
	trans[1][5]	= settr(0,0,0,0,0,"rterm = page.rterm",0,0,0);
	trans[1][6]	= settr(0,0,0,0,0,"cancelled = 0",0,0,0);
	trans[1][7]	= settr(0,0,0,0,0,"disp = 0",0,0,0);
	trans[1][8]	= settr(0,0,0,0,0,"ready = 0",0,0,0);
	T = trans[1][89] = settr(129,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(129,2,9,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(129,2,12,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(129,2,51,0,0,"IF", 1, 2, 0);
	trans[1][9]	= settr(49,0,485,32,32,"({c_code1})", 1, 2, 0); /* m: 10 -> 485,0 */
	reached1[10] = 1;
	trans[1][10]	= settr(0,0,0,0,0,"owned[i] = 1",0,0,0);
	trans[1][11]	= settr(0,0,0,0,0,"wterm[i] = (page.term+1)",0,0,0);
	trans[1][90]	= settr(130,0,485,33,33,".(goto)", 1, 2, 0);
	trans[1][12]	= settr(52,2,50,34,34,"({c_code2})", 1, 2, 0); /* m: 13 -> 50,0 */
	reached1[13] = 1;
	trans[1][13]	= settr(0,0,0,0,0,"owned[i] = 1",0,0,0);
	trans[1][14]	= settr(0,0,0,0,0,"wterm[i] = (page.term+1)",0,0,0);
	T = trans[ 1][50] = settr(90,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(90,0,15,0,0,"sub-sequence", 1, 2, 0);
	trans[1][15]	= settr(55,2,25,35,35,"wtok = (((2*wver)+i)+1)", 1, 2, 0); /* m: 16 -> 0,25 */
	reached1[16] = 1;
	trans[1][16]	= settr(0,0,0,0,0,"uterm = (page.term+1)",0,0,0);
	trans[1][17]	= settr(0,0,0,0,0,"ust = st",0,0,0);
	trans[1][18]	= settr(0,0,0,0,0,"uatt = att",0,0,0);
	trans[1][19]	= settr(0,0,0,0,0,"urterm = rterm",0,0,0);
	T = trans[1][25] = settr(65,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(65,2,20,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(65,2,24,0,0,"IF", 1, 2, 0);
	trans[1][20]	= settr(60,2,48,36,36,"(cancelled)", 1, 2, 0); /* m: 21 -> 48,0 */
	reached1[21] = 1;
	trans[1][21]	= settr(0,0,0,0,0,"ust = 0",0,0,0);
	trans[1][22]	= settr(0,0,0,0,0,"uatt = 0",0,0,0);
	trans[1][23]	= settr(0,0,0,0,0,"urterm = 0",0,0,0);
	trans[1][26]	= settr(66,2,27,1,0,".(goto)", 1, 2, 0); /* m: 27 -> 0,48 */
	reached1[27] = 1;
	trans[1][24]	= settr(64,2,27,2,0,"else", 1, 2, 0);
	trans[1][27]	= settr(67,2,48,37,37,"ans[i] = 0", 1, 2, 0); /* m: 28 -> 0,48 */
	reached1[28] = 1;
	trans[1][28]	= settr(0,0,0,0,0,"writing = 1",0,0,0);
	trans[1][29]	= settr(0,0,0,0,0,"dirty = 0",0,0,0);
	T = trans[1][48] = settr(88,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(88,2,30,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(88,2,39,0,0,"IF", 1, 2, 0);
	trans[1][30]	= settr(70,2,38,38,0,"(!(net[(2*i)].busy))", 1, 2, 0);
	T = trans[ 1][38] = settr(78,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(78,0,31,0,0,"sub-sequence", 1, 2, 0);
	trans[1][31]	= settr(71,0,485,39,39,"net[(2*i)].busy = 1", 1, 2, 0); /* m: 32 -> 0,485 */
	reached1[32] = 1;
	trans[1][32]	= settr(0,0,0,0,0,"net[(2*i)].expect = wver",0,0,0);
	trans[1][33]	= settr(0,0,0,0,0,"net[(2*i)].p.term = uterm",0,0,0);
	trans[1][34]	= settr(0,0,0,0,0,"net[(2*i)].p.tok = wtok",0,0,0);
	trans[1][35]	= settr(0,0,0,0,0,"net[(2*i)].p.st = ust",0,0,0);
	trans[1][36]	= settr(0,0,0,0,0,"net[(2*i)].p.att = uatt",0,0,0);
	trans[1][37]	= settr(0,0,0,0,0,"net[(2*i)].p.rterm = urterm",0,0,0);
	trans[1][49]	= settr(89,0,485,40,40,".(goto)", 1, 2, 0); /* m: 90 -> 0,485 */
	reached1[90] = 1;
	trans[1][39]	= settr(79,2,47,2,0,"else", 1, 2, 0);
	T = trans[ 1][47] = settr(87,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(87,0,40,0,0,"sub-sequence", 1, 2, 0);
	trans[1][40]	= settr(80,0,485,41,41,"net[((2*i)+1)].busy = 1", 1, 2, 0); /* m: 41 -> 0,485 */
	reached1[41] = 1;
	trans[1][41]	= settr(0,0,0,0,0,"net[((2*i)+1)].expect = wver",0,0,0);
	trans[1][42]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.term = uterm",0,0,0);
	trans[1][43]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.tok = wtok",0,0,0);
	trans[1][44]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.st = ust",0,0,0);
	trans[1][45]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.att = uatt",0,0,0);
	trans[1][46]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.rterm = urterm",0,0,0);
	trans[1][51]	= settr(91,2,52,2,0,"else", 1, 2, 0);
	trans[1][52]	= settr(92,2,88,42,42,"taking = 1", 1, 2, 0);
	T = trans[ 1][88] = settr(128,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(128,0,53,0,0,"sub-sequence", 1, 2, 0);
	trans[1][53]	= settr(93,2,63,43,43,"wtok = (((2*wver)+i)+1)", 1, 2, 0); /* m: 54 -> 0,63 */
	reached1[54] = 1;
	trans[1][54]	= settr(0,0,0,0,0,"uterm = (page.term+1)",0,0,0);
	trans[1][55]	= settr(0,0,0,0,0,"ust = st",0,0,0);
	trans[1][56]	= settr(0,0,0,0,0,"uatt = att",0,0,0);
	trans[1][57]	= settr(0,0,0,0,0,"urterm = rterm",0,0,0);
	T = trans[1][63] = settr(103,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(103,2,58,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(103,2,62,0,0,"IF", 1, 2, 0);
	trans[1][58]	= settr(98,2,86,44,44,"(cancelled)", 1, 2, 0); /* m: 59 -> 86,0 */
	reached1[59] = 1;
	trans[1][59]	= settr(0,0,0,0,0,"ust = 0",0,0,0);
	trans[1][60]	= settr(0,0,0,0,0,"uatt = 0",0,0,0);
	trans[1][61]	= settr(0,0,0,0,0,"urterm = 0",0,0,0);
	trans[1][64]	= settr(104,2,65,1,0,".(goto)", 1, 2, 0); /* m: 65 -> 0,86 */
	reached1[65] = 1;
	trans[1][62]	= settr(102,2,65,2,0,"else", 1, 2, 0);
	trans[1][65]	= settr(105,2,86,45,45,"ans[i] = 0", 1, 2, 0); /* m: 66 -> 0,86 */
	reached1[66] = 1;
	trans[1][66]	= settr(0,0,0,0,0,"writing = 1",0,0,0);
	trans[1][67]	= settr(0,0,0,0,0,"dirty = 0",0,0,0);
	T = trans[1][86] = settr(126,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(126,2,68,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(126,2,77,0,0,"IF", 1, 2, 0);
	trans[1][68]	= settr(108,2,76,46,0,"(!(net[(2*i)].busy))", 1, 2, 0);
	T = trans[ 1][76] = settr(116,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(116,0,69,0,0,"sub-sequence", 1, 2, 0);
	trans[1][69]	= settr(109,0,485,47,47,"net[(2*i)].busy = 1", 1, 2, 0); /* m: 70 -> 0,485 */
	reached1[70] = 1;
	trans[1][70]	= settr(0,0,0,0,0,"net[(2*i)].expect = wver",0,0,0);
	trans[1][71]	= settr(0,0,0,0,0,"net[(2*i)].p.term = uterm",0,0,0);
	trans[1][72]	= settr(0,0,0,0,0,"net[(2*i)].p.tok = wtok",0,0,0);
	trans[1][73]	= settr(0,0,0,0,0,"net[(2*i)].p.st = ust",0,0,0);
	trans[1][74]	= settr(0,0,0,0,0,"net[(2*i)].p.att = uatt",0,0,0);
	trans[1][75]	= settr(0,0,0,0,0,"net[(2*i)].p.rterm = urterm",0,0,0);
	trans[1][87]	= settr(127,0,485,48,48,".(goto)", 1, 2, 0); /* m: 90 -> 0,485 */
	reached1[90] = 1;
	trans[1][77]	= settr(117,2,85,2,0,"else", 1, 2, 0);
	T = trans[ 1][85] = settr(125,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(125,0,78,0,0,"sub-sequence", 1, 2, 0);
	trans[1][78]	= settr(118,0,485,49,49,"net[((2*i)+1)].busy = 1", 1, 2, 0); /* m: 79 -> 0,485 */
	reached1[79] = 1;
	trans[1][79]	= settr(0,0,0,0,0,"net[((2*i)+1)].expect = wver",0,0,0);
	trans[1][80]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.term = uterm",0,0,0);
	trans[1][81]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.tok = wtok",0,0,0);
	trans[1][82]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.st = ust",0,0,0);
	trans[1][83]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.att = uatt",0,0,0);
	trans[1][84]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.rterm = urterm",0,0,0);
	T = trans[ 1][145] = settr(185,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(185,2,92,0,0,"ATOMIC", 1, 503, 0);
	trans[1][92]	= settr(132,2,140,50,50,"sub[i]?r,a,t", 1, 503, 0);
	T = trans[1][140] = settr(180,2,0,0,0,"IF", 1, 503, 0);
	T = T->nxt	= settr(180,2,93,0,0,"IF", 1, 503, 0);
	    T->nxt	= settr(180,2,102,0,0,"IF", 1, 503, 0);
	trans[1][93]	= settr(133,2,101,51,0,"((!(owned[i])||(t!=wterm[i])))", 1, 503, 0);
	T = trans[ 1][101] = settr(141,0,0,0,0,"sub-sequence", 1, 503, 0);
	T->nxt	= settr(141,0,99,0,0,"sub-sequence", 1, 503, 0);
	T = trans[1][99] = settr(139,2,0,0,0,"IF", 1, 503, 0);
	T = T->nxt	= settr(139,2,94,0,0,"IF", 1, 503, 0);
	    T->nxt	= settr(139,2,98,0,0,"IF", 1, 503, 0);
	trans[1][94]	= settr(134,0,485,52,52,"(((cur[r]==a)&&(a!=0)))", 1, 503, 0); /* m: 95 -> 485,0 */
	reached1[95] = 1;
	trans[1][95]	= settr(0,0,0,0,0,"got[r] = 4",0,0,0);
	trans[1][96]	= settr(0,0,0,0,0,"gotTerm[r] = 0",0,0,0);
	trans[1][97]	= settr(0,0,0,0,0,"cur[r] = 0",0,0,0);
	trans[1][100]	= settr(140,2,142,1,0,".(goto)", 1, 503, 0); /* m: 142 -> 0,485 */
	reached1[142] = 1;
	trans[1][98]	= settr(138,2,142,2,0,"else", 1, 503, 0);
	trans[1][141]	= settr(181,2,142,1,0,".(goto)", 1, 503, 0); /* m: 142 -> 0,485 */
	reached1[142] = 1;
	trans[1][102]	= settr(142,2,138,2,0,"else", 1, 503, 0);
	T = trans[1][138] = settr(178,2,0,0,0,"IF", 1, 503, 0);
	T = T->nxt	= settr(178,2,103,0,0,"IF", 1, 503, 0);
	T = T->nxt	= settr(178,2,109,0,0,"IF", 1, 503, 0);
	T = T->nxt	= settr(178,2,111,0,0,"IF", 1, 503, 0);
	T = T->nxt	= settr(178,2,120,0,0,"IF", 1, 503, 0);
	    T->nxt	= settr(178,2,129,0,0,"IF", 1, 503, 0);
	trans[1][103]	= settr(143,0,485,53,53,"((st==0))", 1, 503, 0); /* m: 104 -> 485,0 */
	reached1[104] = 1;
	trans[1][104]	= settr(0,0,0,0,0,"st = 1",0,0,0);
	trans[1][105]	= settr(0,0,0,0,0,"att = a",0,0,0);
	trans[1][106]	= settr(0,0,0,0,0,"rterm = wterm[i]",0,0,0);
	trans[1][107]	= settr(0,0,0,0,0,"waiting[r] = a",0,0,0);
	trans[1][108]	= settr(0,0,0,0,0,"dirty = 1",0,0,0);
	trans[1][139]	= settr(179,2,142,1,0,".(goto)", 1, 503, 0); /* m: 142 -> 0,485 */
	reached1[142] = 1;
	trans[1][109]	= settr(149,0,485,54,54,"((((st==1)&&(rterm==wterm[i]))&&!(cancelled)))", 1, 503, 0); /* m: 110 -> 485,0 */
	reached1[110] = 1;
	trans[1][110]	= settr(0,0,0,0,0,"waiting[r] = a",0,0,0);
	trans[1][111]	= settr(151,2,119,55,0,"((((st==1)&&(rterm==wterm[i]))&&cancelled))", 1, 503, 0);
	T = trans[ 1][119] = settr(159,0,0,0,0,"sub-sequence", 1, 503, 0);
	T->nxt	= settr(159,0,117,0,0,"sub-sequence", 1, 503, 0);
	T = trans[1][117] = settr(157,2,0,0,0,"IF", 1, 503, 0);
	T = T->nxt	= settr(157,2,112,0,0,"IF", 1, 503, 0);
	    T->nxt	= settr(157,2,116,0,0,"IF", 1, 503, 0);
	trans[1][112]	= settr(152,0,485,56,56,"(((cur[r]==a)&&(a!=0)))", 1, 503, 0); /* m: 113 -> 485,0 */
	reached1[113] = 1;
	trans[1][113]	= settr(0,0,0,0,0,"got[r] = 2",0,0,0);
	trans[1][114]	= settr(0,0,0,0,0,"gotTerm[r] = wterm[i]",0,0,0);
	trans[1][115]	= settr(0,0,0,0,0,"cur[r] = 0",0,0,0);
	trans[1][118]	= settr(158,2,142,1,0,".(goto)", 1, 503, 0); /* m: 142 -> 0,485 */
	reached1[142] = 1;
	trans[1][116]	= settr(156,2,142,2,0,"else", 1, 503, 0);
	trans[1][120]	= settr(160,2,128,57,0,"(((st==1)&&(rterm!=wterm[i])))", 1, 503, 0);
	T = trans[ 1][128] = settr(168,0,0,0,0,"sub-sequence", 1, 503, 0);
	T->nxt	= settr(168,0,126,0,0,"sub-sequence", 1, 503, 0);
	T = trans[1][126] = settr(166,2,0,0,0,"IF", 1, 503, 0);
	T = T->nxt	= settr(166,2,121,0,0,"IF", 1, 503, 0);
	    T->nxt	= settr(166,2,125,0,0,"IF", 1, 503, 0);
	trans[1][121]	= settr(161,0,485,58,58,"(((cur[r]==a)&&(a!=0)))", 1, 503, 0); /* m: 122 -> 485,0 */
	reached1[122] = 1;
	trans[1][122]	= settr(0,0,0,0,0,"got[r] = 3",0,0,0);
	trans[1][123]	= settr(0,0,0,0,0,"gotTerm[r] = wterm[i]",0,0,0);
	trans[1][124]	= settr(0,0,0,0,0,"cur[r] = 0",0,0,0);
	trans[1][127]	= settr(167,2,142,1,0,".(goto)", 1, 503, 0); /* m: 142 -> 0,485 */
	reached1[142] = 1;
	trans[1][125]	= settr(165,2,142,2,0,"else", 1, 503, 0);
	trans[1][129]	= settr(169,2,137,59,0,"((st==2))", 1, 503, 0);
	T = trans[ 1][137] = settr(177,0,0,0,0,"sub-sequence", 1, 503, 0);
	T->nxt	= settr(177,0,135,0,0,"sub-sequence", 1, 503, 0);
	T = trans[1][135] = settr(175,2,0,0,0,"IF", 1, 503, 0);
	T = T->nxt	= settr(175,2,130,0,0,"IF", 1, 503, 0);
	    T->nxt	= settr(175,2,134,0,0,"IF", 1, 503, 0);
	trans[1][130]	= settr(170,0,485,60,60,"(((cur[r]==a)&&(a!=0)))", 1, 503, 0); /* m: 131 -> 485,0 */
	reached1[131] = 1;
	trans[1][131]	= settr(0,0,0,0,0,"got[r] = 1",0,0,0);
	trans[1][132]	= settr(0,0,0,0,0,"gotTerm[r] = wterm[i]",0,0,0);
	trans[1][133]	= settr(0,0,0,0,0,"cur[r] = 0",0,0,0);
	trans[1][136]	= settr(176,2,142,1,0,".(goto)", 1, 503, 0); /* m: 142 -> 0,485 */
	reached1[142] = 1;
	trans[1][134]	= settr(174,2,142,2,0,"else", 1, 503, 0);
	trans[1][142]	= settr(182,0,485,61,61,"r = 0", 1, 503, 0); /* m: 143 -> 0,485 */
	reached1[143] = 1;
	trans[1][143]	= settr(0,0,0,0,0,"a = 0",0,0,0);
	trans[1][144]	= settr(0,0,0,0,0,"t = 0",0,0,0);
	T = trans[ 1][183] = settr(223,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(223,2,146,0,0,"ATOMIC", 1, 2, 0);
	trans[1][146]	= settr(186,2,182,62,0,"((((owned[i]&&dirty)&&!(writing))&&!(net[(2*i)].busy)))", 1, 2, 0);
	T = trans[ 1][182] = settr(222,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(222,0,147,0,0,"sub-sequence", 1, 2, 0);
	trans[1][147]	= settr(187,2,157,63,63,"wtok = (((2*wver)+i)+1)", 1, 2, 0); /* m: 148 -> 0,157 */
	reached1[148] = 1;
	trans[1][148]	= settr(0,0,0,0,0,"uterm = wterm[i]",0,0,0);
	trans[1][149]	= settr(0,0,0,0,0,"ust = st",0,0,0);
	trans[1][150]	= settr(0,0,0,0,0,"uatt = att",0,0,0);
	trans[1][151]	= settr(0,0,0,0,0,"urterm = rterm",0,0,0);
	T = trans[1][157] = settr(197,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(197,2,152,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(197,2,156,0,0,"IF", 1, 2, 0);
	trans[1][152]	= settr(192,2,180,64,64,"(cancelled)", 1, 2, 0); /* m: 153 -> 180,0 */
	reached1[153] = 1;
	trans[1][153]	= settr(0,0,0,0,0,"ust = 0",0,0,0);
	trans[1][154]	= settr(0,0,0,0,0,"uatt = 0",0,0,0);
	trans[1][155]	= settr(0,0,0,0,0,"urterm = 0",0,0,0);
	trans[1][158]	= settr(198,2,159,1,0,".(goto)", 1, 2, 0); /* m: 159 -> 0,180 */
	reached1[159] = 1;
	trans[1][156]	= settr(196,2,159,2,0,"else", 1, 2, 0);
	trans[1][159]	= settr(199,2,180,65,65,"ans[i] = 0", 1, 2, 0); /* m: 160 -> 0,180 */
	reached1[160] = 1;
	trans[1][160]	= settr(0,0,0,0,0,"writing = 1",0,0,0);
	trans[1][161]	= settr(0,0,0,0,0,"dirty = 0",0,0,0);
	T = trans[1][180] = settr(220,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(220,2,162,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(220,2,171,0,0,"IF", 1, 2, 0);
	trans[1][162]	= settr(202,2,170,66,0,"(!(net[(2*i)].busy))", 1, 2, 0);
	T = trans[ 1][170] = settr(210,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(210,0,163,0,0,"sub-sequence", 1, 2, 0);
	trans[1][163]	= settr(203,0,485,67,67,"net[(2*i)].busy = 1", 1, 2, 0); /* m: 164 -> 0,485 */
	reached1[164] = 1;
	trans[1][164]	= settr(0,0,0,0,0,"net[(2*i)].expect = wver",0,0,0);
	trans[1][165]	= settr(0,0,0,0,0,"net[(2*i)].p.term = uterm",0,0,0);
	trans[1][166]	= settr(0,0,0,0,0,"net[(2*i)].p.tok = wtok",0,0,0);
	trans[1][167]	= settr(0,0,0,0,0,"net[(2*i)].p.st = ust",0,0,0);
	trans[1][168]	= settr(0,0,0,0,0,"net[(2*i)].p.att = uatt",0,0,0);
	trans[1][169]	= settr(0,0,0,0,0,"net[(2*i)].p.rterm = urterm",0,0,0);
	trans[1][181]	= settr(221,0,485,68,68,".(goto)", 1, 2, 0);
	trans[1][171]	= settr(211,2,179,2,0,"else", 1, 2, 0);
	T = trans[ 1][179] = settr(219,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(219,0,172,0,0,"sub-sequence", 1, 2, 0);
	trans[1][172]	= settr(212,0,485,69,69,"net[((2*i)+1)].busy = 1", 1, 2, 0); /* m: 173 -> 0,485 */
	reached1[173] = 1;
	trans[1][173]	= settr(0,0,0,0,0,"net[((2*i)+1)].expect = wver",0,0,0);
	trans[1][174]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.term = uterm",0,0,0);
	trans[1][175]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.tok = wtok",0,0,0);
	trans[1][176]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.st = ust",0,0,0);
	trans[1][177]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.att = uatt",0,0,0);
	trans[1][178]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.rterm = urterm",0,0,0);
	T = trans[ 1][221] = settr(261,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(261,2,184,0,0,"ATOMIC", 1, 2, 0);
	trans[1][184]	= settr(224,2,220,70,0,"((((({c_code3}&&owned[i])&&dirty)&&writing)&&!(net[((2*i)+1)].busy)))", 1, 2, 0);
	T = trans[ 1][220] = settr(260,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(260,0,185,0,0,"sub-sequence", 1, 2, 0);
	trans[1][185]	= settr(225,2,195,71,71,"wtok = (((2*wver)+i)+1)", 1, 2, 0); /* m: 186 -> 0,195 */
	reached1[186] = 1;
	trans[1][186]	= settr(0,0,0,0,0,"uterm = wterm[i]",0,0,0);
	trans[1][187]	= settr(0,0,0,0,0,"ust = st",0,0,0);
	trans[1][188]	= settr(0,0,0,0,0,"uatt = att",0,0,0);
	trans[1][189]	= settr(0,0,0,0,0,"urterm = rterm",0,0,0);
	T = trans[1][195] = settr(235,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(235,2,190,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(235,2,194,0,0,"IF", 1, 2, 0);
	trans[1][190]	= settr(230,2,218,72,72,"(cancelled)", 1, 2, 0); /* m: 191 -> 218,0 */
	reached1[191] = 1;
	trans[1][191]	= settr(0,0,0,0,0,"ust = 0",0,0,0);
	trans[1][192]	= settr(0,0,0,0,0,"uatt = 0",0,0,0);
	trans[1][193]	= settr(0,0,0,0,0,"urterm = 0",0,0,0);
	trans[1][196]	= settr(236,2,197,1,0,".(goto)", 1, 2, 0); /* m: 197 -> 0,218 */
	reached1[197] = 1;
	trans[1][194]	= settr(234,2,197,2,0,"else", 1, 2, 0);
	trans[1][197]	= settr(237,2,218,73,73,"ans[i] = 0", 1, 2, 0); /* m: 198 -> 0,218 */
	reached1[198] = 1;
	trans[1][198]	= settr(0,0,0,0,0,"writing = 1",0,0,0);
	trans[1][199]	= settr(0,0,0,0,0,"dirty = 0",0,0,0);
	T = trans[1][218] = settr(258,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(258,2,200,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(258,2,209,0,0,"IF", 1, 2, 0);
	trans[1][200]	= settr(240,2,208,74,0,"(!(net[(2*i)].busy))", 1, 2, 0);
	T = trans[ 1][208] = settr(248,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(248,0,201,0,0,"sub-sequence", 1, 2, 0);
	trans[1][201]	= settr(241,0,485,75,75,"net[(2*i)].busy = 1", 1, 2, 0); /* m: 202 -> 0,485 */
	reached1[202] = 1;
	trans[1][202]	= settr(0,0,0,0,0,"net[(2*i)].expect = wver",0,0,0);
	trans[1][203]	= settr(0,0,0,0,0,"net[(2*i)].p.term = uterm",0,0,0);
	trans[1][204]	= settr(0,0,0,0,0,"net[(2*i)].p.tok = wtok",0,0,0);
	trans[1][205]	= settr(0,0,0,0,0,"net[(2*i)].p.st = ust",0,0,0);
	trans[1][206]	= settr(0,0,0,0,0,"net[(2*i)].p.att = uatt",0,0,0);
	trans[1][207]	= settr(0,0,0,0,0,"net[(2*i)].p.rterm = urterm",0,0,0);
	trans[1][219]	= settr(259,0,485,76,76,".(goto)", 1, 2, 0);
	trans[1][209]	= settr(249,2,217,2,0,"else", 1, 2, 0);
	T = trans[ 1][217] = settr(257,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(257,0,210,0,0,"sub-sequence", 1, 2, 0);
	trans[1][210]	= settr(250,0,485,77,77,"net[((2*i)+1)].busy = 1", 1, 2, 0); /* m: 211 -> 0,485 */
	reached1[211] = 1;
	trans[1][211]	= settr(0,0,0,0,0,"net[((2*i)+1)].expect = wver",0,0,0);
	trans[1][212]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.term = uterm",0,0,0);
	trans[1][213]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.tok = wtok",0,0,0);
	trans[1][214]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.st = ust",0,0,0);
	trans[1][215]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.att = uatt",0,0,0);
	trans[1][216]	= settr(0,0,0,0,0,"net[((2*i)+1)].p.rterm = urterm",0,0,0);
	T = trans[ 1][249] = settr(289,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(289,2,222,0,0,"ATOMIC", 1, 2, 0);
	trans[1][222]	= settr(262,2,248,78,78,"((writing&&(ans[i]==1)))", 1, 2, 0); /* m: 223 -> 248,0 */
	reached1[223] = 1;
	trans[1][223]	= settr(0,0,0,0,0,"ans[i] = 0",0,0,0);
	T = trans[ 1][248] = settr(288,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(288,0,224,0,0,"sub-sequence", 1, 2, 0);
	trans[1][224]	= settr(264,2,242,79,79,"wver = (wver+1)", 1, 2, 0); /* m: 225 -> 0,242 */
	reached1[225] = 1;
	trans[1][225]	= settr(0,0,0,0,0,"writing = 0",0,0,0);
	trans[1][226]	= settr(0,0,0,0,0,"wtok = 0",0,0,0);
	T = trans[1][242] = settr(282,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(282,2,227,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(282,2,234,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(282,2,239,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(282,2,241,0,0,"IF", 1, 2, 0);
	trans[1][227]	= settr(267,0,485,80,80,"(taking)", 1, 2, 0); /* m: 228 -> 485,0 */
	reached1[228] = 1;
	trans[1][228]	= settr(0,0,0,0,0,"taking = 0",0,0,0);
	trans[1][229]	= settr(0,0,0,0,0,"owned[i] = 1",0,0,0);
	trans[1][230]	= settr(0,0,0,0,0,"wterm[i] = uterm",0,0,0);
	trans[1][231]	= settr(0,0,0,0,0,"disp = 0",0,0,0);
	trans[1][232]	= settr(0,0,0,0,0,"cancelled = 0",0,0,0);
	trans[1][233]	= settr(0,0,0,0,0,"ready = 0",0,0,0);
	trans[1][243]	= settr(283,2,244,1,0,".(goto)", 1, 2, 0); /* m: 244 -> 0,485 */
	reached1[244] = 1;
	trans[1][234]	= settr(274,0,485,81,81,"((!(taking)&&cancelled))", 1, 2, 0); /* m: 235 -> 485,0 */
	reached1[235] = 1;
	trans[1][235]	= settr(0,0,0,0,0,"st = 0",0,0,0);
	trans[1][236]	= settr(0,0,0,0,0,"att = 0",0,0,0);
	trans[1][237]	= settr(0,0,0,0,0,"rterm = 0",0,0,0);
	trans[1][238]	= settr(0,0,0,0,0,"cancelled = 0",0,0,0);
	trans[1][239]	= settr(279,0,485,82,82,"(((!(taking)&&!(cancelled))&&(((((ust==1)&&(uatt==att))&&!(disp))&&(st==1))||{c_code4})))", 1, 2, 0); /* m: 240 -> 485,0 */
	reached1[240] = 1;
	trans[1][240]	= settr(0,0,0,0,0,"ready = 1",0,0,0);
	trans[1][241]	= settr(281,2,244,2,0,"else", 1, 2, 0);
	trans[1][244]	= settr(284,0,485,83,83,"uterm = 0", 1, 2, 0); /* m: 245 -> 0,485 */
	reached1[245] = 1;
	trans[1][245]	= settr(0,0,0,0,0,"ust = 0",0,0,0);
	trans[1][246]	= settr(0,0,0,0,0,"uatt = 0",0,0,0);
	trans[1][247]	= settr(0,0,0,0,0,"urterm = 0",0,0,0);
	T = trans[ 1][337] = settr(377,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(377,2,250,0,0,"ATOMIC", 1, 2, 0);
	trans[1][250]	= settr(290,2,335,84,84,"((((writing&&!({c_code5}))&&(ans[i]!=1))&&((page.tok==wtok)||(ver>wver))))", 1, 2, 0); /* m: 251 -> 335,0 */
	reached1[251] = 1;
	trans[1][251]	= settr(0,0,0,0,0,"ans[i] = 0",0,0,0);
	T = trans[1][335] = settr(375,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(375,2,252,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(375,2,278,0,0,"IF", 1, 2, 0);
	trans[1][252]	= settr(292,2,277,85,0,"((page.tok==wtok))", 1, 2, 0);
	T = trans[ 1][277] = settr(317,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(317,0,253,0,0,"sub-sequence", 1, 2, 0);
	trans[1][253]	= settr(293,2,271,86,86,"wver = ver", 1, 2, 0); /* m: 254 -> 0,271 */
	reached1[254] = 1;
	trans[1][254]	= settr(0,0,0,0,0,"writing = 0",0,0,0);
	trans[1][255]	= settr(0,0,0,0,0,"wtok = 0",0,0,0);
	T = trans[1][271] = settr(311,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(311,2,256,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(311,2,263,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(311,2,268,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(311,2,270,0,0,"IF", 1, 2, 0);
	trans[1][256]	= settr(296,0,485,87,87,"(taking)", 1, 2, 0); /* m: 257 -> 485,0 */
	reached1[257] = 1;
	trans[1][257]	= settr(0,0,0,0,0,"taking = 0",0,0,0);
	trans[1][258]	= settr(0,0,0,0,0,"owned[i] = 1",0,0,0);
	trans[1][259]	= settr(0,0,0,0,0,"wterm[i] = uterm",0,0,0);
	trans[1][260]	= settr(0,0,0,0,0,"disp = 0",0,0,0);
	trans[1][261]	= settr(0,0,0,0,0,"cancelled = 0",0,0,0);
	trans[1][262]	= settr(0,0,0,0,0,"ready = 0",0,0,0);
	trans[1][272]	= settr(312,2,273,1,0,".(goto)", 1, 2, 0); /* m: 273 -> 0,485 */
	reached1[273] = 1;
	trans[1][263]	= settr(303,0,485,88,88,"((!(taking)&&cancelled))", 1, 2, 0); /* m: 264 -> 485,0 */
	reached1[264] = 1;
	trans[1][264]	= settr(0,0,0,0,0,"st = 0",0,0,0);
	trans[1][265]	= settr(0,0,0,0,0,"att = 0",0,0,0);
	trans[1][266]	= settr(0,0,0,0,0,"rterm = 0",0,0,0);
	trans[1][267]	= settr(0,0,0,0,0,"cancelled = 0",0,0,0);
	trans[1][268]	= settr(308,0,485,89,89,"(((!(taking)&&!(cancelled))&&(((((ust==1)&&(uatt==att))&&!(disp))&&(st==1))||{c_code6})))", 1, 2, 0); /* m: 269 -> 485,0 */
	reached1[269] = 1;
	trans[1][269]	= settr(0,0,0,0,0,"ready = 1",0,0,0);
	trans[1][270]	= settr(310,2,273,2,0,"else", 1, 2, 0);
	trans[1][273]	= settr(313,0,485,90,90,"uterm = 0", 1, 2, 0); /* m: 274 -> 0,485 */
	reached1[274] = 1;
	trans[1][274]	= settr(0,0,0,0,0,"ust = 0",0,0,0);
	trans[1][275]	= settr(0,0,0,0,0,"uatt = 0",0,0,0);
	trans[1][276]	= settr(0,0,0,0,0,"urterm = 0",0,0,0);
	trans[1][336]	= settr(376,0,485,91,91,".(goto)", 1, 2, 0);
	trans[1][278]	= settr(318,2,334,92,0,"(((page.tok!=wtok)&&(ver>wver)))", 1, 2, 0);
	T = trans[ 1][334] = settr(374,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(374,0,279,0,0,"sub-sequence", 1, 2, 0);
	trans[1][279]	= settr(319,2,332,93,93,"writing = 0", 1, 2, 0); /* m: 280 -> 0,332 */
	reached1[280] = 1;
	trans[1][280]	= settr(0,0,0,0,0,"ans[i] = 0",0,0,0);
	trans[1][281]	= settr(0,0,0,0,0,"wtok = 0",0,0,0);
	trans[1][282]	= settr(0,0,0,0,0,"uterm = 0",0,0,0);
	trans[1][283]	= settr(0,0,0,0,0,"ust = 0",0,0,0);
	trans[1][284]	= settr(0,0,0,0,0,"uatt = 0",0,0,0);
	trans[1][285]	= settr(0,0,0,0,0,"urterm = 0",0,0,0);
	trans[1][286]	= settr(0,0,0,0,0,"dirty = 0",0,0,0);
	trans[1][287]	= settr(0,0,0,0,0,"ready = 0",0,0,0);
	T = trans[1][332] = settr(372,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(372,2,288,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(372,2,290,0,0,"IF", 1, 2, 0);
	trans[1][288]	= settr(328,0,485,94,94,"(taking)", 1, 2, 0); /* m: 289 -> 485,0 */
	reached1[289] = 1;
	trans[1][289]	= settr(0,0,0,0,0,"taking = 0",0,0,0);
	trans[1][333]	= settr(373,0,485,95,95,".(goto)", 1, 2, 0); /* m: 336 -> 0,485 */
	reached1[336] = 1;
	trans[1][290]	= settr(330,2,291,2,0,"else", 1, 2, 0);
	trans[1][291]	= settr(331,2,325,96,96,"owned[i] = 0", 1, 2, 0);
	T = trans[1][325] = settr(365,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(365,2,292,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(365,2,324,0,0,"IF", 1, 2, 0);
	trans[1][292]	= settr(332,2,311,97,0,"((((st==1)&&(rterm==wterm[i]))&&!(disp)))", 1, 2, 0);
	T = trans[ 1][311] = settr(351,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(351,0,300,0,0,"sub-sequence", 1, 2, 0);
	T = trans[ 1][300] = settr(340,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(340,0,298,0,0,"sub-sequence", 1, 2, 0);
	T = trans[1][298] = settr(338,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(338,2,293,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(338,2,297,0,0,"IF", 1, 2, 0);
	trans[1][293]	= settr(333,2,309,98,98,"(((cur[0]==waiting[0])&&(waiting[0]!=0)))", 1, 2, 0); /* m: 294 -> 309,0 */
	reached1[294] = 1;
	trans[1][294]	= settr(0,0,0,0,0,"got[0] = 5",0,0,0);
	trans[1][295]	= settr(0,0,0,0,0,"gotTerm[0] = wterm[i]",0,0,0);
	trans[1][296]	= settr(0,0,0,0,0,"cur[0] = 0",0,0,0);
	trans[1][299]	= settr(339,2,301,1,0,".(goto)", 1, 2, 0); /* m: 301 -> 0,309 */
	reached1[301] = 1;
	trans[1][297]	= settr(337,2,301,2,0,"else", 1, 2, 0);
	trans[1][301]	= settr(341,2,309,99,99,"waiting[0] = 0", 1, 2, 0);
	T = trans[ 1][309] = settr(349,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(349,0,307,0,0,"sub-sequence", 1, 2, 0);
	T = trans[1][307] = settr(347,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(347,2,302,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(347,2,306,0,0,"IF", 1, 2, 0);
	trans[1][302]	= settr(342,2,315,100,100,"(((cur[1]==waiting[1])&&(waiting[1]!=0)))", 1, 2, 0); /* m: 303 -> 315,0 */
	reached1[303] = 1;
	trans[1][303]	= settr(0,0,0,0,0,"got[1] = 5",0,0,0);
	trans[1][304]	= settr(0,0,0,0,0,"gotTerm[1] = wterm[i]",0,0,0);
	trans[1][305]	= settr(0,0,0,0,0,"cur[1] = 0",0,0,0);
	trans[1][308]	= settr(348,2,310,1,0,".(goto)", 1, 2, 0); /* m: 310 -> 0,315 */
	reached1[310] = 1;
	trans[1][306]	= settr(346,2,310,2,0,"else", 1, 2, 0);
	trans[1][310]	= settr(350,2,315,101,101,"waiting[1] = 0", 1, 2, 0);
	T = trans[1][315] = settr(355,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(355,2,312,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(355,2,314,0,0,"IF", 1, 2, 0);
	trans[1][312]	= settr(352,2,313,102,0,"((!(cancelled)&&(len(proof)<2)))", 1, 2, 0);
	trans[1][313]	= settr(353,2,322,103,103,"proof!att", 1, 4, 0);
	trans[1][316]	= settr(356,2,322,1,0,".(goto)", 1, 2, 0);
	trans[1][314]	= settr(354,2,322,104,0,"((cancelled||(len(proof)==2)))", 1, 2, 0);
	T = trans[1][322] = settr(362,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(362,2,317,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(362,2,321,0,0,"IF", 1, 2, 0);
	trans[1][317]	= settr(357,0,485,105,105,"(({c_code7}&&!(cancelled)))", 1, 2, 0); /* m: 318 -> 485,0 */
	reached1[318] = 1;
	trans[1][318]	= settr(0,0,0,0,0,"runs = (runs+1)",0,0,0);
	trans[1][319]	= settr(0,0,0,0,0,"ranFor[((att-1)/2)] = 1",0,0,0);
	trans[1][320]	= settr(0,0,0,0,0,"assert(!(toldNo[((att-1)/2)]))",0,0,0);
	trans[1][323]	= settr(363,2,327,1,0,".(goto)", 1, 2, 0); /* m: 327 -> 0,485 */
	reached1[327] = 1;
	trans[1][321]	= settr(361,2,327,2,0,"else", 1, 2, 0);
	trans[1][326]	= settr(366,2,327,1,0,".(goto)", 1, 2, 0); /* m: 327 -> 0,485 */
	reached1[327] = 1;
	trans[1][324]	= settr(364,2,327,2,0,"else", 1, 2, 0);
	trans[1][327]	= settr(367,0,485,106,106,"st = 0", 1, 2, 0); /* m: 328 -> 0,485 */
	reached1[328] = 1;
	trans[1][328]	= settr(0,0,0,0,0,"att = 0",0,0,0);
	trans[1][329]	= settr(0,0,0,0,0,"rterm = 0",0,0,0);
	trans[1][330]	= settr(0,0,0,0,0,"cancelled = 0",0,0,0);
	trans[1][331]	= settr(0,0,0,0,0,"disp = 0",0,0,0);
	T = trans[ 1][395] = settr(435,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(435,2,338,0,0,"ATOMIC", 1, 2, 0);
	trans[1][338]	= settr(378,2,394,107,0,"(((writing&&{c_code8})&&(ans[i]==2)))", 1, 2, 0);
	T = trans[ 1][394] = settr(434,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(434,0,339,0,0,"sub-sequence", 1, 2, 0);
	trans[1][339]	= settr(379,2,392,108,108,"writing = 0", 1, 2, 0); /* m: 340 -> 0,392 */
	reached1[340] = 1;
	trans[1][340]	= settr(0,0,0,0,0,"ans[i] = 0",0,0,0);
	trans[1][341]	= settr(0,0,0,0,0,"wtok = 0",0,0,0);
	trans[1][342]	= settr(0,0,0,0,0,"uterm = 0",0,0,0);
	trans[1][343]	= settr(0,0,0,0,0,"ust = 0",0,0,0);
	trans[1][344]	= settr(0,0,0,0,0,"uatt = 0",0,0,0);
	trans[1][345]	= settr(0,0,0,0,0,"urterm = 0",0,0,0);
	trans[1][346]	= settr(0,0,0,0,0,"dirty = 0",0,0,0);
	trans[1][347]	= settr(0,0,0,0,0,"ready = 0",0,0,0);
	T = trans[1][392] = settr(432,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(432,2,348,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(432,2,350,0,0,"IF", 1, 2, 0);
	trans[1][348]	= settr(388,0,485,109,109,"(taking)", 1, 2, 0); /* m: 349 -> 485,0 */
	reached1[349] = 1;
	trans[1][349]	= settr(0,0,0,0,0,"taking = 0",0,0,0);
	trans[1][393]	= settr(433,0,485,110,110,".(goto)", 1, 2, 0);
	trans[1][350]	= settr(390,2,351,2,0,"else", 1, 2, 0);
	trans[1][351]	= settr(391,2,385,111,111,"owned[i] = 0", 1, 2, 0);
	T = trans[1][385] = settr(425,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(425,2,352,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(425,2,384,0,0,"IF", 1, 2, 0);
	trans[1][352]	= settr(392,2,371,112,0,"((((st==1)&&(rterm==wterm[i]))&&!(disp)))", 1, 2, 0);
	T = trans[ 1][371] = settr(411,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(411,0,360,0,0,"sub-sequence", 1, 2, 0);
	T = trans[ 1][360] = settr(400,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(400,0,358,0,0,"sub-sequence", 1, 2, 0);
	T = trans[1][358] = settr(398,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(398,2,353,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(398,2,357,0,0,"IF", 1, 2, 0);
	trans[1][353]	= settr(393,2,369,113,113,"(((cur[0]==waiting[0])&&(waiting[0]!=0)))", 1, 2, 0); /* m: 354 -> 369,0 */
	reached1[354] = 1;
	trans[1][354]	= settr(0,0,0,0,0,"got[0] = 5",0,0,0);
	trans[1][355]	= settr(0,0,0,0,0,"gotTerm[0] = wterm[i]",0,0,0);
	trans[1][356]	= settr(0,0,0,0,0,"cur[0] = 0",0,0,0);
	trans[1][359]	= settr(399,2,361,1,0,".(goto)", 1, 2, 0); /* m: 361 -> 0,369 */
	reached1[361] = 1;
	trans[1][357]	= settr(397,2,361,2,0,"else", 1, 2, 0);
	trans[1][361]	= settr(401,2,369,114,114,"waiting[0] = 0", 1, 2, 0);
	T = trans[ 1][369] = settr(409,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(409,0,367,0,0,"sub-sequence", 1, 2, 0);
	T = trans[1][367] = settr(407,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(407,2,362,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(407,2,366,0,0,"IF", 1, 2, 0);
	trans[1][362]	= settr(402,2,375,115,115,"(((cur[1]==waiting[1])&&(waiting[1]!=0)))", 1, 2, 0); /* m: 363 -> 375,0 */
	reached1[363] = 1;
	trans[1][363]	= settr(0,0,0,0,0,"got[1] = 5",0,0,0);
	trans[1][364]	= settr(0,0,0,0,0,"gotTerm[1] = wterm[i]",0,0,0);
	trans[1][365]	= settr(0,0,0,0,0,"cur[1] = 0",0,0,0);
	trans[1][368]	= settr(408,2,370,1,0,".(goto)", 1, 2, 0); /* m: 370 -> 0,375 */
	reached1[370] = 1;
	trans[1][366]	= settr(406,2,370,2,0,"else", 1, 2, 0);
	trans[1][370]	= settr(410,2,375,116,116,"waiting[1] = 0", 1, 2, 0);
	T = trans[1][375] = settr(415,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(415,2,372,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(415,2,374,0,0,"IF", 1, 2, 0);
	trans[1][372]	= settr(412,2,373,117,0,"((!(cancelled)&&(len(proof)<2)))", 1, 2, 0);
	trans[1][373]	= settr(413,2,382,118,118,"proof!att", 1, 4, 0);
	trans[1][376]	= settr(416,2,382,1,0,".(goto)", 1, 2, 0);
	trans[1][374]	= settr(414,2,382,119,0,"((cancelled||(len(proof)==2)))", 1, 2, 0);
	T = trans[1][382] = settr(422,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(422,2,377,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(422,2,381,0,0,"IF", 1, 2, 0);
	trans[1][377]	= settr(417,0,485,120,120,"(({c_code9}&&!(cancelled)))", 1, 2, 0); /* m: 378 -> 485,0 */
	reached1[378] = 1;
	trans[1][378]	= settr(0,0,0,0,0,"runs = (runs+1)",0,0,0);
	trans[1][379]	= settr(0,0,0,0,0,"ranFor[((att-1)/2)] = 1",0,0,0);
	trans[1][380]	= settr(0,0,0,0,0,"assert(!(toldNo[((att-1)/2)]))",0,0,0);
	trans[1][383]	= settr(423,2,387,1,0,".(goto)", 1, 2, 0); /* m: 387 -> 0,485 */
	reached1[387] = 1;
	trans[1][381]	= settr(421,2,387,2,0,"else", 1, 2, 0);
	trans[1][386]	= settr(426,2,387,1,0,".(goto)", 1, 2, 0); /* m: 387 -> 0,485 */
	reached1[387] = 1;
	trans[1][384]	= settr(424,2,387,2,0,"else", 1, 2, 0);
	trans[1][387]	= settr(427,0,485,121,121,"st = 0", 1, 2, 0); /* m: 388 -> 0,485 */
	reached1[388] = 1;
	trans[1][388]	= settr(0,0,0,0,0,"att = 0",0,0,0);
	trans[1][389]	= settr(0,0,0,0,0,"rterm = 0",0,0,0);
	trans[1][390]	= settr(0,0,0,0,0,"cancelled = 0",0,0,0);
	trans[1][391]	= settr(0,0,0,0,0,"disp = 0",0,0,0);
	T = trans[ 1][422] = settr(462,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(462,2,396,0,0,"ATOMIC", 1, 2, 0);
	trans[1][396]	= settr(436,2,421,122,0,"(((writing&&{c_code10})&&(ans[i]==0)))", 1, 2, 0);
	T = trans[ 1][421] = settr(461,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(461,0,397,0,0,"sub-sequence", 1, 2, 0);
	trans[1][397]	= settr(437,2,415,123,123,"wver = (wver+1)", 1, 2, 0); /* m: 398 -> 0,415 */
	reached1[398] = 1;
	trans[1][398]	= settr(0,0,0,0,0,"writing = 0",0,0,0);
	trans[1][399]	= settr(0,0,0,0,0,"wtok = 0",0,0,0);
	T = trans[1][415] = settr(455,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(455,2,400,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(455,2,407,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(455,2,412,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(455,2,414,0,0,"IF", 1, 2, 0);
	trans[1][400]	= settr(440,0,485,124,124,"(taking)", 1, 2, 0); /* m: 401 -> 485,0 */
	reached1[401] = 1;
	trans[1][401]	= settr(0,0,0,0,0,"taking = 0",0,0,0);
	trans[1][402]	= settr(0,0,0,0,0,"owned[i] = 1",0,0,0);
	trans[1][403]	= settr(0,0,0,0,0,"wterm[i] = uterm",0,0,0);
	trans[1][404]	= settr(0,0,0,0,0,"disp = 0",0,0,0);
	trans[1][405]	= settr(0,0,0,0,0,"cancelled = 0",0,0,0);
	trans[1][406]	= settr(0,0,0,0,0,"ready = 0",0,0,0);
	trans[1][416]	= settr(456,2,417,1,0,".(goto)", 1, 2, 0); /* m: 417 -> 0,485 */
	reached1[417] = 1;
	trans[1][407]	= settr(447,0,485,125,125,"((!(taking)&&cancelled))", 1, 2, 0); /* m: 408 -> 485,0 */
	reached1[408] = 1;
	trans[1][408]	= settr(0,0,0,0,0,"st = 0",0,0,0);
	trans[1][409]	= settr(0,0,0,0,0,"att = 0",0,0,0);
	trans[1][410]	= settr(0,0,0,0,0,"rterm = 0",0,0,0);
	trans[1][411]	= settr(0,0,0,0,0,"cancelled = 0",0,0,0);
	trans[1][412]	= settr(452,0,485,126,126,"(((!(taking)&&!(cancelled))&&(((((ust==1)&&(uatt==att))&&!(disp))&&(st==1))||{c_code11})))", 1, 2, 0); /* m: 413 -> 485,0 */
	reached1[413] = 1;
	trans[1][413]	= settr(0,0,0,0,0,"ready = 1",0,0,0);
	trans[1][414]	= settr(454,2,417,2,0,"else", 1, 2, 0);
	trans[1][417]	= settr(457,0,485,127,127,"uterm = 0", 1, 2, 0); /* m: 418 -> 0,485 */
	reached1[418] = 1;
	trans[1][418]	= settr(0,0,0,0,0,"ust = 0",0,0,0);
	trans[1][419]	= settr(0,0,0,0,0,"uatt = 0",0,0,0);
	trans[1][420]	= settr(0,0,0,0,0,"urterm = 0",0,0,0);
	T = trans[ 1][429] = settr(469,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(469,2,423,0,0,"ATOMIC", 1, 2, 0);
	trans[1][423]	= settr(463,0,485,128,128,"((((((owned[i]&&(st==1))&&(rterm==wterm[i]))&&!(disp))&&!(cancelled))&&(ready||{c_code12})))", 1, 2, 0); /* m: 424 -> 485,0 */
	reached1[424] = 1;
	trans[1][424]	= settr(0,0,0,0,0,"disp = 1",0,0,0);
	trans[1][425]	= settr(0,0,0,0,0,"runs = (runs+1)",0,0,0);
	trans[1][426]	= settr(0,0,0,0,0,"ranFor[((att-1)/2)] = 1",0,0,0);
	trans[1][427]	= settr(0,0,0,0,0,"assert((runs<=1))",0,0,0);
	trans[1][428]	= settr(0,0,0,0,0,"assert(!(toldNo[((att-1)/2)]))",0,0,0);
	T = trans[ 1][453] = settr(493,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(493,2,430,0,0,"ATOMIC", 1, 2, 0);
	trans[1][430]	= settr(470,2,451,129,129,"((disp&&(st==1)))", 1, 2, 0); /* m: 431 -> 451,0 */
	reached1[431] = 1;
	trans[1][431]	= settr(0,0,0,0,0,"st = 2",0,0,0);
	trans[1][432]	= settr(0,0,0,0,0,"ready = 0",0,0,0);
	T = trans[ 1][451] = settr(491,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(491,0,440,0,0,"sub-sequence", 1, 2, 0);
	T = trans[ 1][440] = settr(480,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(480,0,438,0,0,"sub-sequence", 1, 2, 0);
	T = trans[1][438] = settr(478,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(478,2,433,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(478,2,437,0,0,"IF", 1, 2, 0);
	trans[1][433]	= settr(473,2,449,130,130,"(((cur[0]==waiting[0])&&(waiting[0]!=0)))", 1, 2, 0); /* m: 434 -> 449,0 */
	reached1[434] = 1;
	trans[1][434]	= settr(0,0,0,0,0,"got[0] = 1",0,0,0);
	trans[1][435]	= settr(0,0,0,0,0,"gotTerm[0] = wterm[i]",0,0,0);
	trans[1][436]	= settr(0,0,0,0,0,"cur[0] = 0",0,0,0);
	trans[1][439]	= settr(479,2,441,1,0,".(goto)", 1, 2, 0); /* m: 441 -> 0,449 */
	reached1[441] = 1;
	trans[1][437]	= settr(477,2,441,2,0,"else", 1, 2, 0);
	trans[1][441]	= settr(481,2,449,131,131,"waiting[0] = 0", 1, 2, 0);
	T = trans[ 1][449] = settr(489,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(489,0,447,0,0,"sub-sequence", 1, 2, 0);
	T = trans[1][447] = settr(487,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(487,2,442,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(487,2,446,0,0,"IF", 1, 2, 0);
	trans[1][442]	= settr(482,0,485,132,132,"(((cur[1]==waiting[1])&&(waiting[1]!=0)))", 1, 2, 0); /* m: 443 -> 485,0 */
	reached1[443] = 1;
	trans[1][443]	= settr(0,0,0,0,0,"got[1] = 1",0,0,0);
	trans[1][444]	= settr(0,0,0,0,0,"gotTerm[1] = wterm[i]",0,0,0);
	trans[1][445]	= settr(0,0,0,0,0,"cur[1] = 0",0,0,0);
	trans[1][448]	= settr(488,2,450,1,0,".(goto)", 1, 2, 0); /* m: 450 -> 0,485 */
	reached1[450] = 1;
	trans[1][446]	= settr(486,2,450,2,0,"else", 1, 2, 0);
	trans[1][450]	= settr(490,0,485,133,133,"waiting[1] = 0", 1, 2, 0); /* m: 452 -> 0,485 */
	reached1[452] = 1;
	trans[1][452]	= settr(0,0,0,0,0,"dirty = owned[i]",0,0,0);
	T = trans[ 1][477] = settr(517,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(517,2,454,0,0,"ATOMIC", 1, 2, 0);
	trans[1][454]	= settr(494,2,475,134,134,"(((((owned[i]&&(st==1))&&(rterm==wterm[i]))&&!(disp))&&!(cancelled)))", 1, 2, 0); /* m: 455 -> 475,0 */
	reached1[455] = 1;
	trans[1][455]	= settr(0,0,0,0,0,"cancelled = 1",0,0,0);
	trans[1][456]	= settr(0,0,0,0,0,"ready = 0",0,0,0);
	T = trans[ 1][475] = settr(515,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(515,0,464,0,0,"sub-sequence", 1, 2, 0);
	T = trans[ 1][464] = settr(504,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(504,0,462,0,0,"sub-sequence", 1, 2, 0);
	T = trans[1][462] = settr(502,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(502,2,457,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(502,2,461,0,0,"IF", 1, 2, 0);
	trans[1][457]	= settr(497,2,473,135,135,"(((cur[0]==waiting[0])&&(waiting[0]!=0)))", 1, 2, 0); /* m: 458 -> 473,0 */
	reached1[458] = 1;
	trans[1][458]	= settr(0,0,0,0,0,"got[0] = 2",0,0,0);
	trans[1][459]	= settr(0,0,0,0,0,"gotTerm[0] = wterm[i]",0,0,0);
	trans[1][460]	= settr(0,0,0,0,0,"cur[0] = 0",0,0,0);
	trans[1][463]	= settr(503,2,465,1,0,".(goto)", 1, 2, 0); /* m: 465 -> 0,473 */
	reached1[465] = 1;
	trans[1][461]	= settr(501,2,465,2,0,"else", 1, 2, 0);
	trans[1][465]	= settr(505,2,473,136,136,"waiting[0] = 0", 1, 2, 0);
	T = trans[ 1][473] = settr(513,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(513,0,471,0,0,"sub-sequence", 1, 2, 0);
	T = trans[1][471] = settr(511,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(511,2,466,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(511,2,470,0,0,"IF", 1, 2, 0);
	trans[1][466]	= settr(506,0,485,137,137,"(((cur[1]==waiting[1])&&(waiting[1]!=0)))", 1, 2, 0); /* m: 467 -> 485,0 */
	reached1[467] = 1;
	trans[1][467]	= settr(0,0,0,0,0,"got[1] = 2",0,0,0);
	trans[1][468]	= settr(0,0,0,0,0,"gotTerm[1] = wterm[i]",0,0,0);
	trans[1][469]	= settr(0,0,0,0,0,"cur[1] = 0",0,0,0);
	trans[1][472]	= settr(512,2,474,1,0,".(goto)", 1, 2, 0); /* m: 474 -> 0,485 */
	reached1[474] = 1;
	trans[1][470]	= settr(510,2,474,2,0,"else", 1, 2, 0);
	trans[1][474]	= settr(514,0,485,138,138,"waiting[1] = 0", 1, 2, 0); /* m: 476 -> 0,485 */
	reached1[476] = 1;
	trans[1][476]	= settr(0,0,0,0,0,"dirty = 1",0,0,0);
	T = trans[ 1][484] = settr(524,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(524,2,478,0,0,"ATOMIC", 1, 504, 0);
	trans[1][478]	= settr(518,2,479,139,0,"(((((owned[i]&&!(writing))&&(st==1))&&(rterm!=wterm[i]))&&proof??[eval(att)]))", 1, 504, 0);
	trans[1][479]	= settr(519,0,485,140,140,"proof??eval(att)", 1, 504, 0); /* m: 480 -> 485,0 */
	reached1[480] = 1;
	trans[1][480]	= settr(0,0,0,0,0,"st = 0",0,0,0);
	trans[1][481]	= settr(0,0,0,0,0,"att = 0",0,0,0);
	trans[1][482]	= settr(0,0,0,0,0,"rterm = 0",0,0,0);
	trans[1][483]	= settr(0,0,0,0,0,"dirty = 1",0,0,0);
	trans[1][487]	= settr(527,0,488,1,0,"break", 0, 2, 0);
	trans[1][488]	= settr(528,0,0,141,141,"-end-", 0, 3500, 0);

	/* proctype 0: Store */

	trans[0] = (Trans **) emalloc(42*sizeof(Trans *));

	trans[0][39]	= settr(38,0,38,1,0,".(goto)", 0, 2, 0);
	T = trans[0][38] = settr(37,0,0,0,0,"DO", 0, 2, 0);
	    T->nxt	= settr(37,0,37,0,0,"DO", 0, 2, 0);
	T = trans[ 0][37] = settr(36,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(36,2,9,0,0,"ATOMIC", 1, 2, 0);
	T = trans[0][9] = settr(8,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(8,2,1,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(8,2,3,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(8,2,5,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(8,2,7,0,0,"IF", 1, 2, 0);
	trans[0][1]	= settr(0,2,28,142,142,"(net[0].busy)", 1, 2, 0); /* m: 2 -> 28,0 */
	reached0[2] = 1;
	trans[0][2]	= settr(0,0,0,0,0,"s = 0",0,0,0);
	trans[0][10]	= settr(9,2,11,1,0,".(goto)", 1, 2, 0); /* m: 11 -> 0,28 */
	reached0[11] = 1;
	trans[0][3]	= settr(2,2,28,143,143,"(net[1].busy)", 1, 2, 0); /* m: 4 -> 28,0 */
	reached0[4] = 1;
	trans[0][4]	= settr(0,0,0,0,0,"s = 1",0,0,0);
	trans[0][5]	= settr(4,2,28,144,144,"(net[2].busy)", 1, 2, 0); /* m: 6 -> 28,0 */
	reached0[6] = 1;
	trans[0][6]	= settr(0,0,0,0,0,"s = 2",0,0,0);
	trans[0][7]	= settr(6,2,28,145,145,"(net[3].busy)", 1, 2, 0); /* m: 8 -> 28,0 */
	reached0[8] = 1;
	trans[0][8]	= settr(0,0,0,0,0,"s = 3",0,0,0);
	trans[0][11]	= settr(10,2,28,146,146,"net[s].busy = 0", 1, 2, 0);
	T = trans[0][28] = settr(27,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(27,2,12,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(27,2,23,0,0,"IF", 1, 2, 0);
	trans[0][12]	= settr(11,2,21,147,147,"((net[s].expect==ver))", 1, 2, 0); /* m: 13 -> 21,0 */
	reached0[13] = 1;
	trans[0][13]	= settr(0,0,0,0,0,"ver = (ver+1)",0,0,0);
	trans[0][14]	= settr(0,0,0,0,0,"page.term = net[s].p.term",0,0,0);
	trans[0][15]	= settr(0,0,0,0,0,"page.tok = net[s].p.tok",0,0,0);
	trans[0][16]	= settr(0,0,0,0,0,"page.st = net[s].p.st",0,0,0);
	trans[0][17]	= settr(0,0,0,0,0,"page.att = net[s].p.att",0,0,0);
	trans[0][18]	= settr(0,0,0,0,0,"page.rterm = net[s].p.rterm",0,0,0);
	T = trans[0][21] = settr(20,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(20,2,19,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(20,2,20,0,0,"IF", 1, 2, 0);
	trans[0][19]	= settr(18,0,38,148,148,"ans[(s/2)] = 1", 1, 2, 0); /* m: 30 -> 0,38 */
	reached0[30] = 1;
	trans[0][22]	= settr(21,2,30,1,0,".(goto)", 1, 2, 0); /* m: 30 -> 0,38 */
	reached0[30] = 1;
	trans[0][20]	= settr(19,0,38,149,149,"(1)", 1, 2, 0); /* m: 30 -> 38,0 */
	reached0[30] = 1;
	trans[0][29]	= settr(28,2,30,1,0,".(goto)", 1, 2, 0); /* m: 30 -> 0,38 */
	reached0[30] = 1;
	trans[0][23]	= settr(22,2,26,2,0,"else", 1, 2, 0);
	T = trans[0][26] = settr(25,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(25,2,24,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(25,2,25,0,0,"IF", 1, 2, 0);
	trans[0][24]	= settr(23,0,38,150,150,"ans[(s/2)] = 2", 1, 2, 0); /* m: 30 -> 0,38 */
	reached0[30] = 1;
	trans[0][27]	= settr(26,2,30,1,0,".(goto)", 1, 2, 0); /* m: 30 -> 0,38 */
	reached0[30] = 1;
	trans[0][25]	= settr(24,0,38,151,151,"(1)", 1, 2, 0); /* m: 30 -> 38,0 */
	reached0[30] = 1;
	trans[0][30]	= settr(29,0,38,152,152,"net[s].expect = 0", 1, 2, 0); /* m: 31 -> 0,38 */
	reached0[31] = 1;
	trans[0][31]	= settr(0,0,0,0,0,"net[s].p.term = 0",0,0,0);
	trans[0][32]	= settr(0,0,0,0,0,"net[s].p.tok = 0",0,0,0);
	trans[0][33]	= settr(0,0,0,0,0,"net[s].p.st = 0",0,0,0);
	trans[0][34]	= settr(0,0,0,0,0,"net[s].p.att = 0",0,0,0);
	trans[0][35]	= settr(0,0,0,0,0,"net[s].p.rterm = 0",0,0,0);
	trans[0][36]	= settr(0,0,0,0,0,"s = 0",0,0,0);
	trans[0][40]	= settr(39,0,41,1,0,"break", 0, 2, 0);
	trans[0][41]	= settr(40,0,0,153,153,"-end-", 0, 3500, 0);
	/* np_ demon: */
	trans[_NP_] = (Trans **) emalloc(3*sizeof(Trans *));
	T = trans[_NP_][0] = settr(9997,0,1,_T5,0,"(np_)", 1,2,0);
	    T->nxt	  = settr(9998,0,0,_T2,0,"(1)",   0,2,0);
	T = trans[_NP_][1] = settr(9999,0,1,_T5,0,"(np_)", 1,2,0);
}

Trans *
settr(	int t_id, int a, int b, int c, int d,
	char *t, int g, int tpe0, int tpe1)
{	Trans *tmp = (Trans *) emalloc(sizeof(Trans));

	tmp->atom  = a&(6|32);	/* only (2|8|32) have meaning */
	if (!g) tmp->atom |= 8;	/* no global references */
	tmp->st    = b;
	tmp->tpe[0] = tpe0;
	tmp->tpe[1] = tpe1;
	tmp->tp    = t;
	tmp->t_id  = t_id;
	tmp->forw  = c;
	tmp->back  = d;
	return tmp;
}

Trans *
cpytr(Trans *a)
{	Trans *tmp = (Trans *) emalloc(sizeof(Trans));

	int i;
	tmp->atom  = a->atom;
	tmp->st    = a->st;
#ifdef HAS_UNLESS
	tmp->e_trans = a->e_trans;
	for (i = 0; i < HAS_UNLESS; i++)
		tmp->escp[i] = a->escp[i];
#endif
	tmp->tpe[0] = a->tpe[0];
	tmp->tpe[1] = a->tpe[1];
	for (i = 0; i < 6; i++)
	{	tmp->qu[i] = a->qu[i];
		tmp->ty[i] = a->ty[i];
	}
	tmp->tp    = (char *) emalloc(strlen(a->tp)+1);
	strcpy(tmp->tp, a->tp);
	tmp->t_id  = a->t_id;
	tmp->forw  = a->forw;
	tmp->back  = a->back;
	return tmp;
}

#ifndef NOREDUCE
int
srinc_set(int n)
{	if (n <= 2) return LOCAL;
	if (n <= 2+  DELTA) return Q_FULL_F; /* 's' or nfull  */
	if (n <= 2+2*DELTA) return Q_EMPT_F; /* 'r' or nempty */
	if (n <= 2+3*DELTA) return Q_EMPT_T; /* empty */
	if (n <= 2+4*DELTA) return Q_FULL_T; /* full  */
	if (n ==   5*DELTA) return GLOBAL;
	if (n ==   6*DELTA) return TIMEOUT_F;
	if (n ==   7*DELTA) return ALPHA_F;
	Uerror("cannot happen srinc_class");
	return BAD;
}
int
srunc(int n, int m)
{	switch(m) {
	case Q_FULL_F: return n-2;
	case Q_EMPT_F: return n-2-DELTA;
	case Q_EMPT_T: return n-2-2*DELTA;
	case Q_FULL_T: return n-2-3*DELTA;
	case ALPHA_F:
	case TIMEOUT_F: return 257; /* non-zero, and > MAXQ */
	}
	Uerror("cannot happen srunc");
	return 0;
}
#endif
int cnt;
#ifdef HAS_UNLESS
int
isthere(Trans *a, int b)
{	Trans *t;
	for (t = a; t; t = t->nxt)
		if (t->t_id == b)
			return 1;
	return 0;
}
#endif
#ifndef NOREDUCE
int
mark_safety(Trans *t) /* for conditional safety */
{	int g = 0, i, j, k;

	if (!t) return 0;
	if (t->qu[0])
		return (t->qu[1])?2:1;	/* marked */

	for (i = 0; i < 2; i++)
	{	j = srinc_set(t->tpe[i]);
		if (j >= GLOBAL && j != ALPHA_F)
			return -1;
		if (j != LOCAL)
		{	k = srunc(t->tpe[i], j);
			if (g == 0
			||  t->qu[0] != k
			||  t->ty[0] != j)
			{	t->qu[g] = k;
				t->ty[g] = j;
				g++;
	}	}	}
	return g;
}
#endif
void
retrans(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
	/* process n, with m states, is=initial state */
{	Trans *T0, *T1, *T2, *T3;
	Trans *T4, *T5; /* t_reverse or has_unless */
	int i;
#if defined(HAS_UNLESS) || !defined(NOREDUCE)
	int k;
#endif
#ifndef NOREDUCE
	int g, h, j, aa;
#endif
#ifdef HAS_UNLESS
	int p;
#endif
	if (state_tables >= 4)
	{	printf("STEP 1 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
	do {
		for (i = 1, cnt = 0; i < m; i++)
		{	T2 = trans[n][i];
			T1 = T2?T2->nxt:(Trans *)0;
/* prescan: */		for (T0 = T1; T0; T0 = T0->nxt)
/* choice in choice */	{	if (T0->st && trans[n][T0->st]
				&&  trans[n][T0->st]->nxt)
					break;
			}
#if 0
		if (T0)
		printf("\tstate %d / %d: choice in choice\n",
		i, T0->st);
#endif
			if (T0)
			for (T0 = T1; T0; T0 = T0->nxt)
			{	T3 = trans[n][T0->st];
				if (!T3->nxt)
				{	T2->nxt = cpytr(T0);
					T2 = T2->nxt;
					imed(T2, T0->st, n, i);
					continue;
				}
				do {	T3 = T3->nxt;
					T2->nxt = cpytr(T3);
					T2 = T2->nxt;
					imed(T2, T0->st, n, i);
				} while (T3->nxt);
				cnt++;
			}
		}
	} while (cnt);
	if (state_tables >= 3)
	{	printf("STEP 2 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
	for (i = 1; i < m; i++)
	{	if (trans[n][i] && trans[n][i]->nxt) /* optimize */
		{	T1 = trans[n][i]->nxt;
#if 0
			printf("\t\tpull %d (%d) to %d\n",
			T1->st, T1->forw, i);
#endif
			srcln[i] = srcln[T1->st];	/* Oyvind Teig, 5.2.0 */

			if (!trans[n][T1->st]) continue;
			T0 = cpytr(trans[n][T1->st]);
			trans[n][i] = T0;
			reach[T1->st] = 1;
			imed(T0, T1->st, n, i);
			for (T1 = T1->nxt; T1; T1 = T1->nxt)
			{
#if 0
			printf("\t\tpull %d (%d) to %d\n",
				T1->st, T1->forw, i);
#endif
		/*		srcln[i] = srcln[T1->st];  gh: not useful */
				if (!trans[n][T1->st]) continue;
				T0->nxt = cpytr(trans[n][T1->st]);
				T0 = T0->nxt;
				reach[T1->st] = 1;
				imed(T0, T1->st, n, i);
	}	}	}
	if (state_tables >= 2)
	{	printf("STEP 3 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
#ifdef HAS_UNLESS
	for (i = 1; i < m; i++)
	{	if (!trans[n][i]) continue;
		/* check for each state i if an
		 * escape to some state p is defined
		 * if so, copy and mark p's transitions
		 * and prepend them to the transition-
		 * list of state i
		 */
	 if (!like_java) /* the default */
	 {	for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		for (k = HAS_UNLESS-1; k >= 0; k--)
		{	if (p = T0->escp[k])
			for (T1 = trans[n][p]; T1; T1 = T1->nxt)
			{	if (isthere(trans[n][i], T1->t_id))
					continue;
				T2 = cpytr(T1);
				T2->e_trans = p;
				T2->nxt = trans[n][i];
				trans[n][i] = T2;
		}	}
	 } else /* outermost unless checked first */
	 {	T4 = T3 = (Trans *) 0;
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		for (k = HAS_UNLESS-1; k >= 0; k--)
		{	if (p = T0->escp[k])
			for (T1 = trans[n][p]; T1; T1 = T1->nxt)
			{	if (isthere(trans[n][i], T1->t_id))
					continue;
				T2 = cpytr(T1);
				T2->nxt = (Trans *) 0;
				T2->e_trans = p;
				if (T3)	T3->nxt = T2;
				else	T4 = T2;
				T3 = T2;
		}	}
		if (T4)
		{	T3->nxt = trans[n][i];
			trans[n][i] = T4;
		}
	 }
	}
#endif
#ifndef NOREDUCE
	for (i = 1; i < m; i++)
	{	if (a_cycles)
		{ /* moves through these states are visible */
	#if PROG_LAB>0 && defined(HAS_NP)
			if (progstate[n][i])
				goto degrade;
			for (T1 = trans[n][i]; T1; T1 = T1->nxt)
				if (progstate[n][T1->st])
					goto degrade;
	#endif
			if (accpstate[n][i] || visstate[n][i])
				goto degrade;
			for (T1 = trans[n][i]; T1; T1 = T1->nxt)
				if (accpstate[n][T1->st])
					goto degrade;
		}
		T1 = trans[n][i];
		if (!T1) continue;
		g = mark_safety(T1);	/* V3.3.1 */
		if (g < 0) goto degrade; /* global */
		/* check if mixing of guards preserves reduction */
		if (T1->nxt)
		{	k = 0;
			for (T0 = T1; T0; T0 = T0->nxt)
			{	if (!(T0->atom&8))
					goto degrade;
				for (aa = 0; aa < 2; aa++)
				{	j = srinc_set(T0->tpe[aa]);
					if (j >= GLOBAL && j != ALPHA_F)
						goto degrade;
					if (T0->tpe[aa]
					&&  T0->tpe[aa]
					!=  T1->tpe[0])
						k = 1;
			}	}
			/* g = 0;	V3.3.1 */
			if (k)	/* non-uniform selection */
			for (T0 = T1; T0; T0 = T0->nxt)
			for (aa = 0; aa < 2; aa++)
			{	j = srinc_set(T0->tpe[aa]);
				if (j != LOCAL)
				{	k = srunc(T0->tpe[aa], j);
					for (h = 0; h < 6; h++)
						if (T1->qu[h] == k
						&&  T1->ty[h] == j)
							break;
					if (h >= 6)
					{	T1->qu[g%6] = k;
						T1->ty[g%6] = j;
						g++;
			}	}	}
			if (g > 6)
			{	T1->qu[0] = 0;	/* turn it off */
				printf("pan: warning, line %d, ",
					srcln[i]);
			 	printf("too many stmnt types (%d)",
					g);
			  	printf(" in selection\n");
			  goto degrade;
			}
		}
		/* mark all options global if >=1 is global */
		for (T1 = trans[n][i]; T1; T1 = T1->nxt)
			if (!(T1->atom&8)) break;
		if (T1)
degrade:	for (T1 = trans[n][i]; T1; T1 = T1->nxt)
			T1->atom &= ~8;	/* mark as unsafe */
		/* can only mix 'r's or 's's if on same chan */
		/* and not mixed with other local operations */
		T1 = trans[n][i];
		if (!T1 || T1->qu[0]) continue;
		j = T1->tpe[0];
		if (T1->nxt && T1->atom&8)
		{ if (j == 5*DELTA)
		  {	printf("warning: line %d ", srcln[i]);
			printf("mixed condition ");
			printf("(defeats reduction)\n");
			goto degrade;
		  }
		  for (T0 = T1; T0; T0 = T0->nxt)
		  for (aa = 0; aa < 2; aa++)
		  if  (T0->tpe[aa] && T0->tpe[aa] != j)
		  {	printf("warning: line %d ", srcln[i]);
			printf("[%d-%d] mixed %stion ",
				T0->tpe[aa], j, 
				(j==5*DELTA)?"condi":"selec");
			printf("(defeats reduction)\n");
			printf("	'%s' <-> '%s'\n",
				T1->tp, T0->tp);
			goto degrade;
		} }
	}
#endif
	for (i = 1; i < m; i++)
	{	T2 = trans[n][i];
		if (!T2
		||  T2->nxt
		||  strncmp(T2->tp, ".(goto)", 7)
		||  !stopstate[n][i])
			continue;
		stopstate[n][T2->st] = 1;
	}
	if (state_tables && !verbose)
	{	if (dodot)
		{	char buf[256], *q = buf, *p = procname[n];
			while (*p != '\0')
			{	if (*p != ':')
				{	*q++ = *p;
				}
				p++;
			}
			*q = '\0';
			printf("digraph ");
			switch (Btypes[n]) {
			case I_PROC:  printf("init {\n"); break;
			case N_CLAIM: printf("claim_%s {\n", buf); break;
			case E_TRACE: printf("notrace {\n"); break;
			case N_TRACE: printf("trace {\n"); break;
			default:      printf("p_%s {\n", buf); break;
			}
			printf("size=\"8,10\";\n");
			printf("  GT [shape=box,style=dotted,label=\"%s\"];\n", buf);
			printf("  GT -> S%d;\n", is);
		} else
		{	switch (Btypes[n]) {
			case I_PROC:  printf("init\n"); break;
			case N_CLAIM: printf("claim %s\n", procname[n]); break;
			case E_TRACE: printf("notrace assertion\n"); break;
			case N_TRACE: printf("trace assertion\n"); break;
			default:      printf("proctype %s\n", procname[n]); break;
		}	}
		for (i = 1; i < m; i++)
		{	reach[i] = 1;
		}
		tagtable(n, m, is, srcln, reach);
		if (dodot) printf("}\n");
	} else
	for (i = 1; i < m; i++)
	{	int nrelse;
		if (Btypes[n] != N_CLAIM)
		{	for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			{	if (T0->st == i
				&& strcmp(T0->tp, "(1)") == 0)
				{	printf("error: proctype '%s' ",
						procname[n]);
		  			printf("line %d, state %d: has un",
						srcln[i], i);
					printf("conditional self-loop\n");
					pan_exit(1);
		}	}	}
		nrelse = 0;
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		{	if (strcmp(T0->tp, "else") == 0)
				nrelse++;
		}
		if (nrelse > 1)
		{	printf("error: proctype '%s' state",
				procname[n]);
		  	printf(" %d, inherits %d", i, nrelse);
		  	printf(" 'else' stmnts\n");
			pan_exit(1);
	}	}
#if !defined(LOOPSTATE) && !defined(BFS_PAR)
	if (state_tables)
#endif
	do_dfs(n, m, is, srcln, reach, lpstate);

	if (!t_reverse)
	{	return;
	}
	/* process n, with m states, is=initial state -- reverse list */
	if (!state_tables && Btypes[n] != N_CLAIM)
	{	for (i = 1; i < m; i++)
		{	Trans *Tx = (Trans *) 0; /* list of escapes */
			Trans *Ty = (Trans *) 0; /* its tail element */
			T1 = (Trans *) 0; /* reversed list */
			T2 = (Trans *) 0; /* its tail */
			T3 = (Trans *) 0; /* remembers possible 'else' */

			/* find unless-escapes, they should go first */
			T4 = T5 = T0 = trans[n][i];
	#ifdef HAS_UNLESS
			while (T4 && T4->e_trans) /* escapes are first in orig list */
			{	T5 = T4;	  /* remember predecessor */
				T4 = T4->nxt;
			}
	#endif
			/* T4 points to first non-escape, T5 to its parent, T0 to original list */
			if (T4 != T0)		 /* there was at least one escape */
			{	T3 = T5->nxt;		 /* start of non-escapes */
				T5->nxt = (Trans *) 0;	 /* separate */
				Tx = T0;		 /* start of the escapes */
				Ty = T5;		 /* its tail */
				T0 = T3;		 /* the rest, to be reversed */
			}
			/* T0 points to first non-escape, Tx to the list of escapes, Ty to its tail */

			/* first tail-add non-escape transitions, reversed */
			T3 = (Trans *) 0;
			for (T5 = T0; T5; T5 = T4)
			{	T4 = T5->nxt;
	#ifdef HAS_UNLESS
				if (T5->e_trans)
				{	printf("error: cannot happen!\n");
					continue;
				}
	#endif
				if (strcmp(T5->tp, "else") == 0)
				{	T3 = T5;
					T5->nxt = (Trans *) 0;
				} else
				{	T5->nxt = T1;
					if (!T1) { T2 = T5; }
					T1 = T5;
			}	}
			/* T3 points to a possible else, which is removed from the list */
			/* T1 points to the reversed list so far (without escapes) */
			/* T2 points to the tail element -- where the else should go */
			if (T2 && T3)
			{	T2->nxt = T3;	/* add else */
			} else
			{	if (T3) /* there was an else, but there's no tail */
				{	if (!T1)	/* and no reversed list */
					{	T1 = T3; /* odd, but possible */
					} else		/* even stranger */
					{	T1->nxt = T3;
			}	}	}

			/* add in the escapes, to that they appear at the front */
			if (Tx && Ty) { Ty->nxt = T1; T1 = Tx; }

			trans[n][i] = T1;
			/* reversed, with escapes first and else last */
	}	}
	if (state_tables && verbose)
	{	printf("FINAL proctype %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
	}
}
void
imed(Trans *T, int v, int n, int j)	/* set intermediate state */
{	progstate[n][T->st] |= progstate[n][v];
	accpstate[n][T->st] |= accpstate[n][v];
	stopstate[n][T->st] |= stopstate[n][v];
	mapstate[n][j] = T->st;
}
void
tagtable(int n, int m, int is, short srcln[], uchar reach[])
{	Trans *z;

	if (is >= m || !trans[n][is]
	||  is <= 0 || reach[is] == 0)
		return;
	reach[is] = 0;
	if (state_tables)
	for (z = trans[n][is]; z; z = z->nxt)
	{	if (dodot)
			dot_crack(n, is, z);
		else
			crack(n, is, z, srcln);
	}

	for (z = trans[n][is]; z; z = z->nxt)
	{
#ifdef HAS_UNLESS
		int i, j;
#endif
		tagtable(n, m, z->st, srcln, reach);
#ifdef HAS_UNLESS
		for (i = 0; i < HAS_UNLESS; i++)
		{	j = trans[n][is]->escp[i];
			if (!j) break;
			tagtable(n, m, j, srcln, reach);
		}
#endif
	}
}

extern Trans *t_id_lkup[];

void
dfs_table(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
{	Trans *z;

	if (is >= m || is <= 0 || !trans[n][is])
		return;
	if ((reach[is] & (4|8|16)) != 0)
	{	if ((reach[is] & (8|16)) == 16)	/* on stack, not yet recorded */
		{	lpstate[is] = 1;
			reach[is] |= 8; /* recorded */
			if (state_tables && verbose)
			{	printf("state %d line %d is a loopstate\n", is, srcln[is]);
		}	}
		return;
	}
	reach[is] |= (4|16);	/* visited | onstack */
	for (z = trans[n][is]; z; z = z->nxt)
	{	t_id_lkup[z->t_id] = z;
#ifdef HAS_UNLESS
		int i, j;
#endif
		dfs_table(n, m, z->st, srcln, reach, lpstate);
#ifdef HAS_UNLESS
		for (i = 0; i < HAS_UNLESS; i++)
		{	j = trans[n][is]->escp[i];
			if (!j) break;
			dfs_table(n, m, j, srcln, reach, lpstate);
		}
#endif
	}
	reach[is] &= ~16; /* no longer on stack */
}
void
do_dfs(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
{	int i;
	dfs_table(n, m, is, srcln, reach, lpstate);
	for (i = 0; i < m; i++)
		reach[i] &= ~(4|8|16);
}
void
crack(int n, int j, Trans *z, short srcln[])
{	int i;

	if (!z) return;
	printf("	state %3d -(tr %3d)-> state %3d  ",
		j, z->forw, z->st);
	printf("[id %3d tp %3d", z->t_id, z->tpe[0]);
	if (z->tpe[1]) printf(",%d", z->tpe[1]);
#ifdef HAS_UNLESS
	if (z->e_trans)
		printf(" org %3d", z->e_trans);
	else if (state_tables >= 2)
	for (i = 0; i < HAS_UNLESS; i++)
	{	if (!z->escp[i]) break;
		printf(" esc %d", z->escp[i]);
	}
#endif
	printf("]");
	printf(" [%s%s%s%s%s] %s:%d => ",
		z->atom&6?"A":z->atom&32?"D":"-",
		accpstate[n][j]?"a" :"-",
		stopstate[n][j]?"e" : "-",
		progstate[n][j]?"p" : "-",
		z->atom & 8 ?"L":"G",
		PanSource, srcln[j]);
	for (i = 0; z->tp[i]; i++)
		if (z->tp[i] == '\n')
			printf("\\n");
		else
			putchar(z->tp[i]);
	if (verbose && z->qu[0])
	{	printf("\t[");
		for (i = 0; i < 6; i++)
			if (z->qu[i])
				printf("(%d,%d)",
				z->qu[i], z->ty[i]);
		printf("]");
	}
	printf("\n");
	fflush(stdout);
}
/* spin -a m.pml; cc -o pan pan.c; ./pan -D | dot -Tps > foo.ps; ps2pdf foo.ps */
void
dot_crack(int n, int j, Trans *z)
{	int i;

	if (!z) return;
	printf("	S%d -> S%d  [color=black", j, z->st);

	if (z->atom&6) printf(",style=dashed");
	else if (z->atom&32) printf(",style=dotted");
	else if (z->atom&8) printf(",style=solid");
	else printf(",style=bold");

	printf(",label=\"");
	for (i = 0; z->tp[i]; i++)
	{	if (z->tp[i] == '\\'
		&&  z->tp[i+1] == 'n')
		{	i++; printf(" ");
		} else
		{	putchar(z->tp[i]);
	}	}
	printf("\"];\n");
	if (accpstate[n][j]) printf("  S%d [color=red,style=bold];\n", j);
	else if (progstate[n][j]) printf("  S%d [color=green,style=bold];\n", j);
	if (stopstate[n][j]) printf("  S%d [color=blue,style=bold,shape=box];\n", j);
}

#ifdef VAR_RANGES
#define BYTESIZE	32	/* 2^8 : 2^3 = 256:8 = 32 */

typedef struct Vr_Ptr {
	char	*nm;
	uchar	vals[BYTESIZE];
	struct Vr_Ptr *nxt;
} Vr_Ptr;
Vr_Ptr *ranges = (Vr_Ptr *) 0;

void
logval(char *s, int v)
{	Vr_Ptr *tmp;

	if (v<0 || v > 255) return;
	for (tmp = ranges; tmp; tmp = tmp->nxt)
		if (!strcmp(tmp->nm, s))
			goto found;
	tmp = (Vr_Ptr *) emalloc(sizeof(Vr_Ptr));
	tmp->nxt = ranges;
	ranges = tmp;
	tmp->nm = s;
found:
	tmp->vals[(v)/8] |= 1<<((v)%8);
}

void
dumpval(uchar X[], int range)
{	int w, x, i, j = -1;

	for (w = i = 0; w < range; w++)
	for (x = 0; x < 8; x++, i++)
	{
from:		if ((X[w] & (1<<x)))
		{	printf("%d", i);
			j = i;
			goto upto;
	}	}
	return;
	for (w = 0; w < range; w++)
	for (x = 0; x < 8; x++, i++)
	{
upto:		if (!(X[w] & (1<<x)))
		{	if (i-1 == j)
				printf(", ");
			else
				printf("-%d, ", i-1);
			goto from;
	}	}
	if (j >= 0 && j != 255)
		printf("-255");
}

void
dumpranges(void)
{	Vr_Ptr *tmp;
	printf("\nValues assigned within ");
	printf("interval [0..255]:\n");
	for (tmp = ranges; tmp; tmp = tmp->nxt)
	{	printf("\t%s\t: ", tmp->nm);
		dumpval(tmp->vals, BYTESIZE);
		printf("\n");
	}
}
#endif
